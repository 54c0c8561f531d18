package crankspar.pg;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A statement with the comment that says what it asks for. It goes on as it came, but for {@code d}: the
 * server should know how long it is still waited for.
 */
public record Statement(String sql, Map<String, String> names, int commentEnd, String key) {
    /** What is wrong with a statement, in words for its client. */
    public static final class Malformed extends Exception {
        Malformed(String message) { super(message); }
    }

    static final String LOAD = "SHOW load";

    /** A probe: a statement of the pooler's own, without a comment. */
    static Statement probe() { return new Statement(LOAD, Map.of(), 0, null); }

    public static Statement parse(String sql) throws Malformed {
        int start = sql.indexOf("/*");
        int end = sql.indexOf("*/", start + 2);
        if (start < 0 || end < 0 || !sql.substring(0, start).isBlank()) {
            throw new Malformed("the statement does not begin with a comment");
        }
        var names = new LinkedHashMap<String, String>();
        for (String part : sql.substring(start + 2, end).strip().split(",")) {
            int equals = part.indexOf('=');
            if (equals <= 0) {
                throw new Malformed("no name and value: " + brief(part));
            }
            names.put(part.substring(0, equals).strip(), part.substring(equals + 1).strip());
        }
        int quote = sql.indexOf('\'', end);
        int close = sql.indexOf('\'', quote + 1);
        return new Statement(sql, names, end + 2, quote < 0 || close < 0 ? null : sql.substring(quote + 1, close));
    }

    private static String brief(String part) { return part.length() > 40 ? part.substring(0, 40) + "..." : part; }

    public String text(String name) throws Malformed {
        String value = names.get(name);
        if (value == null || value.isEmpty()) {
            throw new Malformed("no " + name + " in the comment");
        }
        return value;
    }

    /** A number that is not negative. */
    public double number(String name) throws Malformed {
        try {
            double value = Double.parseDouble(text(name));
            if (value >= 0 && value < 1e15) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new Malformed(name + " is no number: " + brief(names.get(name)));
    }

    /** The text to send on, with what is left of the time. */
    String withTimeLeft(double ms) {
        if (!names.containsKey("d")) {
            return sql;
        }
        var text = new StringBuilder(sql.length() + 8).append("/* ");
        String comma = "";
        for (Map.Entry<String, String> e : names.entrySet()) {
            String value = e.getKey().equals("d") ? Long.toString(Math.max(1, Math.round(ms))) : e.getValue();
            text.append(comma).append(e.getKey()).append('=').append(value);
            comma = ",";
        }
        return text.append(" */").append(sql, commentEnd, sql.length()).toString();
    }
}
