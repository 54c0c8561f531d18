package crankspar.lab;

import crankspar.pooling.Frame;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * As much SQL as the stand-in needs to answer drivers: transactions, settings, prepared statements, cursors, channels,
 * COPY, and SELECTs of literals, parameters and a few functions, over one row or {@code generate_series}. Its own
 * reading of statements, apart from the pooler's: an error in one must not hide in the other.
 */
final class MiniSql {
    static final Frame EMPTY = Frame.body().as('I');
    private static final int INT4 = 23;
    private static final int INT8 = 20;
    private static final int TEXT = 25;

    /** What a statement gives; {@code columns} is null where it gives no rows. */
    record Result(List<String> columns, int[] types, int count, IntFunction<List<String>> rows, String tag, String copy) {
        static Result of(String tag) { return new Result(null, null, 0, null, tag, null); }

        Frame description() {
            Frame.Body b = Frame.body().int16(columns.size());
            for (int i = 0; i < columns.size(); i++) {
                b.text(columns.get(i)).int32(0).int16(0).int32(types[i]).int16(types[i] == INT4 ? 4 : types[i] == INT8 ? 8 : -1)
                        .int32(-1).int16(0);
            }
            return b.as('T');
        }

        Frame row(int i) { return Frame.row(rows.apply(i)); }

        String text(int i) { return String.join("\t", rows.apply(i)); }

        Result part(int from, int to) {
            return new Result(columns, types, to - from, i -> rows.apply(from + i), "FETCH " + (to - from), null);
        }
    }

    private MiniSql() { }

    // ---- Texts.
    /** The statements between semicolons that stand outside quotes and comments. */
    static List<String> split(String sql) {
        var all = new ArrayList<String>();
        var one = new StringBuilder();
        int i = 0;
        while (i < sql.length()) {
            int end = opaque(sql, i);
            if (end > i) {
                one.append(sql, i, end);
                i = end;
            } else if (sql.charAt(i) == ';') {
                all.add(one.toString());
                one.setLength(0);
                i++;
            } else {
                one.append(sql.charAt(i++));
            }
        }
        all.add(one.toString());
        all.removeIf(s -> bare(s).isEmpty());
        return all;
    }

    /** Where a quote or comment that begins here ends, or here. */
    private static int opaque(String s, int i) {
        char c = s.charAt(i);
        if (c == '\'' || c == '"') {
            boolean escapes = c == '\'' && i > 0 && (s.charAt(i - 1) == 'E' || s.charAt(i - 1) == 'e');
            int j = i + 1;
            while (j < s.length() && s.charAt(j) != c) {
                j += escapes && s.charAt(j) == '\\' ? 2 : 1;
            }
            return Math.min(s.length(), j + 1);
        }
        if (s.startsWith("--", i)) {
            int end = s.indexOf('\n', i);
            return end < 0 ? s.length() : end;
        }
        if (s.startsWith("/*", i)) {
            int end = s.indexOf("*/", i + 2);
            return end < 0 ? s.length() : end + 2;
        }
        Matcher m = Pattern.compile("\\$[A-Za-z_]*\\$").matcher(s).region(i, s.length());
        if (c == '$' && m.lookingAt()) {
            int end = s.indexOf(m.group(), m.end());
            return end < 0 ? s.length() : end + m.group().length();
        }
        return i;
    }

    /** Without the comment that leads, and in one line's worth of spaces. */
    static String bare(String sql) { return sql.replaceAll("(?s)^(\\s*(/\\*.*?\\*/|--[^\n]*\n))*\\s*", "").strip(); }

    static String first(String bare) { return bare.split("[\\s(;]", 2)[0].toUpperCase(Locale.ROOT); }

    static boolean ends(String sql) { return first(bare(sql)).matches("COMMIT|END|ROLLBACK|ABORT"); }

    static boolean writes(String bare) {
        return first(bare).matches("INSERT|UPDATE|DELETE|CREATE|DROP|ALTER|TRUNCATE|LISTEN")
                || first(bare).equals("COPY") && bare.toUpperCase(Locale.ROOT).contains("FROM STDIN");
    }

    /** Whether it costs what the stand-in's work is set to. */
    static boolean works(String bare) { return first(bare).matches("SELECT|INSERT|UPDATE|DELETE|EXECUTE"); }

    static double sleep(String bare) {
        Matcher m = Pattern.compile("(?i)pg_sleep\\(([0-9.]+)\\)").matcher(bare);
        return m.find() && !first(bare).equals("PREPARE") ? 1000 * Double.parseDouble(m.group(1)) : 0;
    }

    static int parameters(String sql) {
        int most = 0;
        Matcher m = Pattern.compile("\\$([0-9]+)").matcher(sql);
        while (m.find()) {
            most = Math.max(most, Integer.parseInt(m.group(1)));
        }
        return most;
    }

    /** With its parameters in their places, as it is recorded. */
    static String filled(String sql, List<String> parameters) {
        if (parameters.isEmpty()) {
            return sql;
        }
        Matcher m = Pattern.compile("\\$([0-9]+)").matcher(sql);
        return m.replaceAll(r -> {
            int n = Integer.parseInt(r.group(1));
            String value = n <= parameters.size() ? parameters.get(n - 1) : null;
            return Matcher.quoteReplacement(value == null ? "NULL" : value);
        });
    }

    // ---- Running.
    /** What a statement will give, without running it. */
    static Result shape(PgBackend b, String sql) throws PgFailed {
        String bare = bare(sql);
        String word = first(bare);
        boolean returning = word.matches("INSERT|UPDATE|DELETE") && bare.toUpperCase(Locale.ROOT).contains(" RETURNING ");
        return word.matches("SELECT|SHOW") || returning ? run(b, sql, java.util.Collections.nCopies(parameters(sql), "0"))
                : Result.of(word);
    }

    private static final Pattern SET = Pattern.compile("(?is)SET\\s+(SESSION\\s+|LOCAL\\s+)?([A-Za-z_.]+)\\s*(?:=|\\s+TO\\s+)\\s*(.*)");

    static Result run(PgBackend b, String sql, List<String> parameters) throws PgFailed {
        String bare = bare(sql).replaceAll(";\\s*$", "");
        String upper = bare.toUpperCase(Locale.ROOT);
        String[] words = bare.split("\\s+");
        if (upper.contains("RAISE(")) {
            Matcher m = Pattern.compile("(?i)raise\\('([0-9A-Z]{5})'\\)").matcher(bare);
            throw new PgFailed(m.find() ? m.group(1) : "P0001", "raised");
        }
        switch (first(bare)) {
            case "BEGIN", "START" -> {
                b.transaction.begin(upper.contains("READ ONLY"));
                return Result.of("BEGIN");
            }
            case "COMMIT", "END" -> {
                return Result.of(b.transaction.finish(true));
            }
            case "ABORT" -> {
                return Result.of(b.transaction.finish(false));
            }
            case "ROLLBACK" -> {
                if (!upper.matches("(?s)ROLLBACK\\s+(WORK\\s+|TRANSACTION\\s+)?TO\\s.*")) {
                    return Result.of(b.transaction.finish(false));
                }
                if (!b.settings.rollbackTo(words[words.length - 1])) {
                    throw new PgFailed("3B001", "no such savepoint");
                }
                b.transaction.rolledBackToSavepoint();
                return Result.of("ROLLBACK");
            }
            case "SAVEPOINT" -> {
                if (!b.transaction.inBlock()) {
                    throw new PgFailed("25P01", "SAVEPOINT can only be used in transaction blocks");
                }
                b.settings.savepoint(words[1]);
                return Result.of("SAVEPOINT");
            }
            case "RELEASE" -> {
                if (!b.settings.release(words[words.length - 1])) {
                    throw new PgFailed("3B001", "no such savepoint");
                }
                return Result.of("RELEASE");
            }
            case "SET" -> {
                set(b, bare, upper);
                return Result.of("SET");
            }
            case "RESET" -> {
                if (upper.equals("RESET ALL")) {
                    b.settings.resetAll();
                } else {
                    b.settings.reset(name(words[1].equalsIgnoreCase("time") ? "timezone" : words[1]));
                }
                return Result.of("RESET");
            }
            case "SHOW" -> {
                if (upper.equals("SHOW LOAD")) {
                    b.server.probes.probed(b.server.loop.now());
                }
                String value = upper.equals("SHOW LOAD")
                        ? "x0=" + String.format(Locale.ROOT, "%.3f", b.server.position() / 1000) + ",x1=" + (b.server.primary ? 1 : 0)
                        : upper.equals("SHOW TRANSACTION ISOLATION LEVEL") ? "read committed"
                        : b.settings.get(name(upper.equals("SHOW TIME ZONE") ? "timezone" : words[1]));
                return rows(List.of(words[1].toLowerCase(Locale.ROOT)), new int[] {TEXT}, 1, i -> List.of(value), "SHOW");
            }
            case "DISCARD" -> {
                if (b.transaction.inBlock()) {
                    throw new PgFailed("25001", "DISCARD ALL cannot run inside a transaction block");
                }
                if (upper.equals("DISCARD ALL")) {
                    b.settings.resetAll();
                    b.statements.deallocate(null);
                    b.server.unlisten(b, null);
                    b.transaction.closeCursor(null);
                }
                return Result.of("DISCARD ALL");
            }
            case "PREPARE" -> {
                Matcher m = Pattern.compile("(?is)PREPARE\\s+([\"\\w]+)\\s*(?:\\([^)]*\\))?\\s+AS\\s+(.*)").matcher(bare);
                if (!m.matches()) {
                    throw new PgFailed("42601", "syntax error in PREPARE");
                }
                b.statements.prepareSql(m.group(1).replace("\"", ""), m.group(2));
                return Result.of("PREPARE");
            }
            case "EXECUTE" -> {
                Matcher m = Pattern.compile("(?is)EXECUTE\\s+([\"\\w]+)\\s*(?:\\((.*)\\))?").matcher(bare);
                m.matches();
                String text = b.statements.sql(m.group(1).replace("\"", ""));
                var values = new ArrayList<String>();
                for (String v : m.group(2) == null ? new String[0] : m.group(2).split(",")) {
                    values.add(v.strip().replaceAll("^'|'$", ""));
                }
                return run(b, text, values);
            }
            case "DEALLOCATE" -> {
                String name = words[words.length - 1].replace("\"", "");
                b.statements.deallocate(name.equalsIgnoreCase("ALL") ? null : name);
                return Result.of("DEALLOCATE");
            }
            case "LISTEN" -> {
                b.server.listen(b, words[1]);
                return Result.of("LISTEN");
            }
            case "UNLISTEN" -> {
                b.server.unlisten(b, words[1].equals("*") ? null : words[1]);
                return Result.of("UNLISTEN");
            }
            case "NOTIFY" -> {
                b.server.notify(b.connection, words[1].replace(",", ""), words.length > 2 ? words[2].replace("'", "") : "");
                return Result.of("NOTIFY");
            }
            case "DECLARE" -> {
                b.transaction.declare(words[1], upper, run(b, bare.substring(upper.indexOf(" FOR ") + 5), List.of()));
                return Result.of("DECLARE CURSOR");
            }
            case "FETCH" -> {
                String count = words.length > 2 && words[1].matches("[0-9]+") ? words[1] : words.length > 3 ? words[2] : "1";
                return b.transaction.fetch(words[words.length - 1], count.matches("[0-9]+") ? Integer.parseInt(count) : 1 << 20);
            }
            case "CLOSE" -> {
                b.transaction.closeCursor(words[1].equalsIgnoreCase("ALL") ? null : words[1]);
                return Result.of("CLOSE CURSOR");
            }
            case "COPY" -> {
                if (upper.contains("FROM STDIN")) {
                    return new Result(null, null, 0, null, words[1], "in");
                }
                Matcher m = Pattern.compile("(?is)COPY\\s*\\((.*)\\)\\s*TO\\s+STDOUT.*").matcher(bare);
                Result all = run(b, m.matches() ? m.group(1) : "SELECT g FROM generate_series(1,3)", parameters);
                return new Result(all.columns(), all.types(), all.count(), all.rows(), "COPY", "out");
            }
            case "INSERT", "UPDATE", "DELETE" -> {
                int at = upper.indexOf(" RETURNING ");
                String tag = first(bare).equals("INSERT") ? "INSERT 0 1" : first(bare) + " 1";
                if (at < 0) {
                    return Result.of(tag);
                }
                Result r = select(b, "SELECT " + bare.substring(at + 11), parameters);
                return new Result(r.columns(), r.types(), r.count(), r.rows(), tag, null);
            }
            case "SELECT" -> {
                return select(b, bare, parameters);
            }
            case "" -> {
                return Result.of("");
            }
            default -> {
                if (!first(bare).matches("CREATE|DROP|ALTER|TRUNCATE|LOAD|ANALYZE|VACUUM|LOCK|GRANT|REVOKE")) {
                    throw new PgFailed("42601", "syntax error at or near \"" + words[0] + "\"");
                }
                return Result.of(words.length > 1 ? first(bare) + " " + words[1].toUpperCase(Locale.ROOT) : first(bare));
            }
        }
    }

    private static Result rows(List<String> columns, int[] types, int count, IntFunction<List<String>> rows, String tag) {
        return new Result(columns, types, count, rows, tag, null);
    }

    private static String name(String given) throws PgFailed {
        String name = Settings.name(given);
        if (name == null) {
            throw new PgFailed("42704", "unrecognized configuration parameter \"" + given + "\"");
        }
        return name;
    }

    private static void set(PgBackend b, String bare, String upper) throws PgFailed {
        if (upper.startsWith("SET TRANSACTION") || upper.startsWith("SET CONSTRAINTS")) {
            return;
        }
        if (upper.startsWith("SET SESSION CHARACTERISTICS")) {
            if (upper.contains("READ ONLY") || upper.contains("READ WRITE")) {
                b.settings.set("default_transaction_read_only", upper.contains("READ ONLY") ? "on" : "off", false);
            }
            Matcher level = Pattern.compile("ISOLATION LEVEL ([A-Z ]+?)(?:,|$| READ (?:ONLY|WRITE))").matcher(upper);
            if (level.find()) {
                b.settings.set("default_transaction_isolation", level.group(1).toLowerCase(Locale.ROOT), false);
            }
            return;
        }
        Matcher zone = Pattern.compile("(?is)SET\\s+(SESSION\\s+|LOCAL\\s+)?TIME\\s+ZONE\\s+(.*)").matcher(bare);
        Matcher m = zone.matches() ? zone : SET.matcher(bare);
        if (!m.matches()) {
            throw new PgFailed("42601", "syntax error in SET");
        }
        boolean local = m.group(1) != null && m.group(1).strip().equalsIgnoreCase("LOCAL");
        String name = name(zone.matches() ? "timezone" : m.group(2));
        String value = m.group(zone.matches() ? 2 : 3).strip();
        if (value.equalsIgnoreCase("DEFAULT")) {
            b.settings.reset(name);
            return;
        }
        if (value.toUpperCase(Locale.ROOT).contains("NO SUCH")) {
            throw new PgFailed("22023", "invalid value for parameter \"" + name + "\"");
        }
        b.settings.set(name, value.replaceAll("^E?'(.*)'$", "$1").replace("''", "'"), local);
    }

    private static Result select(PgBackend b, String bare, List<String> parameters) throws PgFailed {
        String list = bare.substring(6).strip();
        int count = 1;
        Matcher series = Pattern.compile("(?is)(.*)\\sFROM\\s+generate_series\\(\\s*(\\S+?)\\s*,\\s*(\\S+?)\\s*\\).*").matcher(list);
        Matcher from = Pattern.compile("(?is)(.*?)\\sFROM\\s.*").matcher(list);
        int first = 1;
        if (series.matches()) {
            list = series.group(1);
            first = Integer.parseInt(filled(series.group(2), parameters));
            count = Math.max(0, Integer.parseInt(filled(series.group(3), parameters)) - first + 1);
        } else if (from.matches()) {
            list = from.group(1);
        }
        List<String> items = items(list);
        var columns = new ArrayList<String>();
        int[] types = new int[items.size()];
        for (int i = 0; i < items.size(); i++) {
            String item = items.get(i);
            Matcher as = Pattern.compile("(?is)(.*)\\s+AS\\s+\"?(\\w+)\"?").matcher(item);
            columns.add(as.matches() ? as.group(2) : item.matches("\\w+\\(.*") ? item.substring(0, item.indexOf('(')) : "?column?");
            items.set(i, as.matches() ? as.group(1).strip() : item);
            String value = items.get(i);
            types[i] = value.matches("(?s)[0-9]{1,9}|g|pg_backend_pid\\(\\)|.*::int4?") ? INT4 : value.matches("(?s)[0-9]+|.*::bigint") ? INT8 : TEXT;
        }
        var constant = new ArrayList<String>();
        for (String item : items) {
            constant.add(item.equals("g") ? null : value(b, item, parameters));
        }
        int start = first;
        return rows(columns, types, count, i -> {
            var row = new ArrayList<String>(items.size());
            for (int k = 0; k < items.size(); k++) {
                row.add(items.get(k).equals("g") ? Integer.toString(start + i) : constant.get(k));
            }
            return row;
        }, "SELECT " + count);
    }

    /** The parts between commas that stand outside quotes and parentheses. */
    private static List<String> items(String list) {
        var all = new ArrayList<String>();
        int depth = 0;
        int from = 0;
        for (int i = 0; i < list.length(); i++) {
            int end = opaque(list, i);
            if (end > i) {
                i = end - 1;
                continue;
            }
            char c = list.charAt(i);
            depth += c == '(' ? 1 : c == ')' ? -1 : 0;
            if (c == ',' && depth == 0) {
                all.add(list.substring(from, i).strip());
                from = i + 1;
            }
        }
        all.add(list.substring(from).strip());
        return all;
    }

    private static String value(PgBackend b, String item, List<String> parameters) throws PgFailed {
        String plain = item.replaceAll("::\\w+$", "").strip();
        Matcher setting = Pattern.compile("(?i)current_setting\\('([^']+)'\\)").matcher(plain);
        if (setting.matches()) {
            return b.settings.get(name(setting.group(1)));
        }
        Matcher config = Pattern.compile("(?i)set_config\\('([^']+)'\\s*,\\s*'([^']*)'\\s*,\\s*(\\w+)\\)").matcher(plain);
        if (config.matches()) {
            b.settings.set(name(config.group(1)), config.group(2), config.group(3).equalsIgnoreCase("true"));
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
        return plain.equalsIgnoreCase("null") || plain.toLowerCase(Locale.ROOT).startsWith("pg_") ? "" : plain;
    }
}
