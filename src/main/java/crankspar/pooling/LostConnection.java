package crankspar.pooling;

/** The error a client gets when its server connection was lost, by the known outcome. */
final class LostConnection {
  private LostConnection() {}

  static Frame error(String severity, Progress.Outcome outcome, String why) {
    String message = "the connection to the server was lost: " + why;
    return outcome == Progress.Outcome.UNKNOWN
        ? Frame.error(
            severity,
            "08007",
            message,
            "whether the transaction took effect is not known; it was not and will not be sent again")
        : Frame.error(
            severity,
            "08006",
            message,
            "the transaction had no effect that is not answered already; it was not and will not be sent again");
  }
}
