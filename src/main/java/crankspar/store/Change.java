package crankspar.store;

import java.util.Objects;

/** A key and the value that it is to have; a null value removes it. */
public record Change(String key, String value) {
  public Change {
    Objects.requireNonNull(key);
  }
}
