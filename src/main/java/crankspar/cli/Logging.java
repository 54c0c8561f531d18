package crankspar.cli;

import crankspar.config.Operator;
import crankspar.syslog.Rfc5424Formatter;
import crankspar.syslog.SyslogHandler;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Logger;

/** Where log lines go: to the operator's collector, or else to standard error, a line each. */
final class Logging {
  private Logging() {}

  static void set(Operator operator) {
    Logger root = Logger.getLogger("");
    for (Handler h : root.getHandlers()) {
      root.removeHandler(h);
    }
    Operator.Syslog s = operator == null ? null : operator.syslog();
    if (s == null) {
      System.setProperty(
          "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
      root.addHandler(new ConsoleHandler());
      return;
    }
    root.setLevel(s.level());
    var handler =
        new SyslogHandler(
            s.collector(),
            s.tcp() ? SyslogHandler.Transport.TCP : SyslogHandler.Transport.UDP,
            new Rfc5424Formatter(
                s.facility(),
                s.enterprise(),
                operator.name(),
                "crankspar",
                Long.toString(ProcessHandle.current().pid())));
    handler.setLevel(s.level());
    root.addHandler(handler);
  }
}
