package crankspar.store.agreed;

/**
 * Why a command was not done. Each has a code that stays, what happened, and what an operator or
 * caller can do.
 */
public sealed interface Refusal {
  String code();

  String what();

  String remedy();

  record BadKey(String key) implements Refusal {
    @Override
    public String code() {
      return "STORE_BAD_KEY";
    }

    @Override
    public String what() {
      return "a key has 1 to " + Book.KEY_MOST + " characters, this one has " + key.length();
    }

    @Override
    public String remedy() {
      return "choose a shorter name";
    }
  }

  record TooLarge(String key, int length) implements Refusal {
    @Override
    public String code() {
      return "STORE_VALUE_TOO_LARGE";
    }

    @Override
    public String what() {
      return key
          + ": a value has "
          + Book.VALUE_MOST
          + " characters at most, this one has "
          + length;
    }

    @Override
    public String remedy() {
      return "keep large content elsewhere, and its hash here";
    }
  }

  record TooMany(int operations) implements Refusal {
    @Override
    public String code() {
      return "STORE_TOO_MANY_OPERATIONS";
    }

    @Override
    public String what() {
      return "a write has 1 to "
          + Book.OPERATIONS_MOST
          + " operations on as many keys, and as many conditions, this one has "
          + operations;
    }

    @Override
    public String remedy() {
      return "divide it, where its parts need not be done together";
    }
  }

  record NoRoom(String of, long most) implements Refusal {
    @Override
    public String code() {
      return "STORE_NO_ROOM";
    }

    @Override
    public String what() {
      return "the store is full: " + most + " " + of;
    }

    @Override
    public String remedy() {
      return "delete what is no longer needed; rollouts that ended are the first to go";
    }
  }

  record Passed(long number, long last) implements Refusal {
    @Override
    public String code() {
      return "STORE_NUMBER_PASSED";
    }

    @Override
    public String what() {
      return "command "
          + number
          + " of a client that is at "
          + last
          + ": its answer is not kept any more";
    }

    @Override
    public String remedy() {
      return "read what is so now, and decide anew";
    }
  }

  record LeaseGone(long lease, long term) implements Refusal {
    @Override
    public String code() {
      return "STORE_LEASE_GONE";
    }

    @Override
    public String what() {
      return "lease " + lease + " does not stand with term " + term;
    }

    @Override
    public String remedy() {
      return "acquire it again; what was begun under it must be looked at first";
    }
  }

  record BadTtl(double ttl) implements Refusal {
    @Override
    public String code() {
      return "STORE_BAD_TTL";
    }

    @Override
    public String what() {
      return "a lease lasts " + Book.TTL_LEAST + " to " + Book.TTL_MOST + " ms, not " + ttl;
    }

    @Override
    public String remedy() {
      return "choose a time within that";
    }
  }

  record BadHolder(String name) implements Refusal {
    @Override
    public String code() {
      return "STORE_BAD_NAME";
    }

    @Override
    public String what() {
      return "names of clients, leases and holders have 1 to " + Book.KEY_MOST + " characters";
    }

    @Override
    public String remedy() {
      return "choose a shorter name";
    }
  }
}
