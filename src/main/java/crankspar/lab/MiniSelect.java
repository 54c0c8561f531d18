package crankspar.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * SELECT as the stand-in knows it: literals, parameters and a few functions, over one row or {@code
 * generate_series}.
 */
final class MiniSelect {
  private MiniSelect() {}

  static SqlResult select(PgBackend b, String bare, List<String> parameters) throws PgFailed {
    String list = bare.substring(6).strip();
    int count = 1;
    Matcher series =
        Pattern.compile(
                "(?is)(.*)\\sFROM\\s+generate_series\\(\\s*(\\S+?)\\s*,\\s*(\\S+?)\\s*\\).*")
            .matcher(list);
    Matcher from = Pattern.compile("(?is)(.*?)\\sFROM\\s.*").matcher(list);
    int first = 1;
    if (series.matches()) {
      list = series.group(1);
      first = Integer.parseInt(SqlText.filled(series.group(2), parameters));
      count =
          Math.max(0, Integer.parseInt(SqlText.filled(series.group(3), parameters)) - first + 1);
    } else if (from.matches()) {
      list = from.group(1);
    }
    List<String> items = SqlText.items(list);
    var columns = new ArrayList<String>();
    int[] types = new int[items.size()];
    for (int i = 0; i < items.size(); i++) {
      String item = items.get(i);
      Matcher as = Pattern.compile("(?is)(.*)\\s+AS\\s+\"?(\\w+)\"?").matcher(item);
      columns.add(
          as.matches()
              ? as.group(2)
              : item.matches("\\w+\\(.*") ? item.substring(0, item.indexOf('(')) : "?column?");
      items.set(i, as.matches() ? as.group(1).strip() : item);
      String value = items.get(i);
      types[i] =
          value.matches("(?s)[0-9]{1,9}|g|pg_backend_pid\\(\\)|.*::int4?")
              ? SqlResult.INT4
              : value.matches("(?s)[0-9]+|.*::bigint") ? SqlResult.INT8 : SqlResult.TEXT;
    }
    var constant = new ArrayList<String>();
    for (String item : items) {
      constant.add(item.equals("g") ? null : value(b, item, parameters));
    }
    int start = first;
    return SqlResult.rows(
        columns,
        types,
        count,
        i -> {
          var row = new ArrayList<String>(items.size());
          for (int k = 0; k < items.size(); k++) {
            row.add(items.get(k).equals("g") ? Integer.toString(start + i) : constant.get(k));
          }
          return row;
        },
        "SELECT " + count);
  }

  private static String value(PgBackend b, String item, List<String> parameters) throws PgFailed {
    String plain = item.replaceAll("::\\w+$", "").strip();
    Matcher setting = Pattern.compile("(?i)current_setting\\('([^']+)'\\)").matcher(plain);
    if (setting.matches()) {
      return b.settings.get(MiniSql.name(setting.group(1)));
    }
    Matcher config =
        Pattern.compile("(?i)set_config\\('([^']+)'\\s*,\\s*'([^']*)'\\s*,\\s*(\\w+)\\)")
            .matcher(plain);
    if (config.matches()) {
      b.settings.set(
          MiniSql.name(config.group(1)), config.group(2), config.group(3).equalsIgnoreCase("true"));
      return config.group(2);
    }
    Matcher repeat = Pattern.compile("(?i)repeat\\('([^']*)'\\s*,\\s*(\\d+)\\)").matcher(plain);
    if (repeat.matches()) {
      return repeat.group(1).repeat(Integer.parseInt(repeat.group(2)));
    }
    if (plain.matches("\\$[0-9]+")) {
      int n = Integer.parseInt(plain.substring(1));
      return n <= parameters.size() ? parameters.get(n - 1) : null;
    }
    if (plain.equalsIgnoreCase("pg_backend_pid()")) {
      return Integer.toString(b.connection);
    }
    if (plain.equalsIgnoreCase("applied_ms()")) {
      return String.format(Locale.ROOT, "%.3f", b.server.position());
    }
    if (plain.equalsIgnoreCase("now()")) {
      return Long.toString((long) b.server.loop.now());
    }
    if (plain.matches("(?is)'.*'")) {
      return plain.substring(1, plain.length() - 1).replace("''", "'");
    }
    return plain.equalsIgnoreCase("null") || plain.toLowerCase(Locale.ROOT).startsWith("pg_")
        ? ""
        : plain;
  }
}
