package crankspar.lab.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends what a rig has started when the rig itself is killed outright, which leaves no time for
 * hooks: a shell that is told the id of each process as it starts and ends, and that kills those
 * that are left once its input ends. It knows no other process.
 */
final class Guardian {
  private static final String SCRIPT =
      """
            left=" "
            while read what id; do
              if [ "$what" = began ]; then left="$left$id "; else left=$(printf '%s' "$left" | sed "s/ $id / /"); fi
            done
            for id in $left; do kill -9 "$id" 2>/dev/null; done
            """;

  private static Process shell;

  private Guardian() {}

  static synchronized void began(long id) {
    tell("began", id);
  }

  static synchronized void ended(long id) {
    tell("ended", id);
  }

  private static void tell(String what, long id) {
    try {
      if (shell == null || !shell.isAlive()) {
        shell =
            new ProcessBuilder("sh", "-c", SCRIPT)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
      }
      OutputStream in = shell.getOutputStream();
      in.write((what + " " + id + "\n").getBytes(StandardCharsets.US_ASCII));
      in.flush();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException("the guardian cannot be told", e);
    }
  }
}
