package crankspar.lab;

/** An error of the stand-in's to be told to its client, with its SQLSTATE. */
final class PgFailed extends Exception {
  private static final long serialVersionUID = 1;

  final String code;

  PgFailed(String code, String message) {
    super(message);
    this.code = code;
  }
}
