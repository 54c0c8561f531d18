package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.pooling.Progress.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The outcome of losing the connection, at every step of a transaction. */
class ProgressTest {
  /**
   * Each case is a program and its outcome. Steps: SQL that is sent as one message, or with {@code
   * ?} as part of a batch of several messages; {@code !} the last byte of the batch was written;
   * {@code I}, {@code T}, {@code E} ReadyForQuery with that status; {@code =TAG} a command tag;
   * {@code >} part of the reply was sent to the client.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "SELECT 1 | RETRYABLE",
        "SELECT 1,! | RETRYABLE",
        "SELECT 1,!,> | FAILED",
        "INSERT 1 | RETRYABLE",
        "INSERT 1,! | UNKNOWN",
        "INSERT 1,!,=INSERT 0 1,> | UNKNOWN",
        "INSERT 1,!,=INSERT 0 1,I | FAILED",
        "?INSERT 1 | FAILED",
        "?SELECT 1 | RETRYABLE",
        "BEGIN | RETRYABLE",
        "BEGIN,! | RETRYABLE",
        "BEGIN,!,=BEGIN,T,> | FAILED",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,! | FAILED",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,!,T,COMMIT | FAILED",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,!,T,COMMIT,! | UNKNOWN",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,!,T,COMMIT,!,=COMMIT | FAILED",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,!,T,ROLLBACK,! | FAILED",
        "BEGIN,!,T,>,INSERT 1,!,E,COMMIT,!,=ROLLBACK,I | FAILED",
        "BEGIN; INSERT 1; COMMIT | RETRYABLE",
        "BEGIN; INSERT 1; COMMIT,! | UNKNOWN",
        "BEGIN; INSERT 1,! | FAILED",
        "BEGIN; INSERT 1; COMMIT; SELECT 1,!,=BEGIN,=INSERT 0 1,=COMMIT | UNKNOWN",
        "BEGIN; INSERT 1; COMMIT; SELECT 1,!,=COMMIT,=SELECT 1,I | FAILED",
        "BEGIN; INSERT 1; COMMIT; INSERT 2,!,>,=COMMIT | UNKNOWN",
        "BEGIN; INSERT 1; COMMIT; SELECT 1,!,>,=COMMIT | FAILED",
        "BEGIN; INSERT 1; ROLLBACK; INSERT 2,!,>,=ROLLBACK | UNKNOWN",
        "BEGIN; SELECT 1; COMMIT; BEGIN; INSERT 1; COMMIT,!,>,=COMMIT | UNKNOWN",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,!,=INSERT 0 1,T,?COMMIT | UNKNOWN",
        "BEGIN,!,=BEGIN,T,>,INSERT 1,!,=INSERT 0 1,T,?COMMIT,=COMMIT | FAILED",
        "?BEGIN,?INSERT 1,?COMMIT | UNKNOWN",
        "?BEGIN,?INSERT 1,?COMMIT,?BEGIN,?INSERT 2,?COMMIT,>,=COMMIT | UNKNOWN",
        "BEGIN; SELECT 1,! | RETRYABLE",
        "SET a TO 1,! | RETRYABLE",
        "EXECUTE p,! | UNKNOWN"
      })
  void outcomeAfterConnectionLoss(String program, Outcome outcome) {
    var p = new Progress(false);
    for (String step : program.strip().split(",")) {
      switch (step.charAt(0)) {
        case '!' -> p.batchSent();
        case '>' -> p.answerDelivered();
        case '=' -> p.commandCompleted(step.substring(1));
        case '?' -> p.beforeSend(Sql.split(step.substring(1)), false);
        default -> {
          if (step.length() == 1) {
            p.ready(step.charAt(0));
          } else {
            p.beforeSend(Sql.split(step), true);
          }
        }
      }
    }
    assertThat(p.outcome()).isEqualTo(outcome);
  }
}
