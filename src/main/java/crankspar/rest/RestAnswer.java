package crankspar.rest;

/**
 * What a server answered: a page (its items as they came, and the server's mark for what follows,
 * or null), or another answer of its own, such as one that finds nothing or calls a claim invalid.
 */
record RestAnswer(int status, String contentType, byte[] body, String items, String next) {
  boolean page() {
    return items != null;
  }
}
