package crankspar.pooling;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Tells whether a statement may call a function whose effects its text does not show. Only
 * functions of PostgreSQL's own that are known to change nothing are no such calls; any other may
 * write.
 */
final class SqlFunctions {
  private static final int LONGEST = 24;

  /** Words that a parenthesis may follow without being a call. */
  private static final Set<String> KEYWORDS =
      Set.of(
          "all",
          "and",
          "any",
          "array",
          "as",
          "between",
          "by",
          "case",
          "cast",
          "cross",
          "cube",
          "distinct",
          "else",
          "except",
          "exists",
          "extract",
          "filter",
          "from",
          "full",
          "group",
          "grouping",
          "having",
          "in",
          "inner",
          "intersect",
          "interval",
          "is",
          "join",
          "lateral",
          "left",
          "like",
          "limit",
          "materialized",
          "not",
          "offset",
          "on",
          "only",
          "or",
          "order",
          "over",
          "partition",
          "recursive",
          "right",
          "rollup",
          "row",
          "select",
          "sets",
          "some",
          "table",
          "then",
          "union",
          "using",
          "values",
          "when",
          "where",
          "with",
          "within");

  /** Functions that read at the most, and the one whose effect a statement's kind shows. */
  private static final Set<String> READING =
      Set.of(
          "abs",
          "array_agg",
          "array_length",
          "avg",
          "bool_and",
          "bool_or",
          "ceil",
          "coalesce",
          "concat",
          "count",
          "current_setting",
          "current_schema",
          "date_part",
          "date_trunc",
          "dense_rank",
          "first_value",
          "floor",
          "format",
          "generate_series",
          "greatest",
          "json_agg",
          "json_build_object",
          "jsonb_agg",
          "jsonb_build_object",
          "lag",
          "last_value",
          "lead",
          "least",
          "length",
          "lower",
          "ltrim",
          "max",
          "md5",
          "min",
          "mod",
          "now",
          "nullif",
          "pg_backend_pid",
          "pg_is_in_recovery",
          "pg_sleep",
          "position",
          "power",
          "random",
          "rank",
          "repeat",
          "replace",
          "round",
          "row_number",
          "row_to_json",
          "rtrim",
          "set_config",
          "split_part",
          "sqrt",
          "string_agg",
          "substr",
          "substring",
          "sum",
          "to_char",
          "to_date",
          "to_json",
          "to_jsonb",
          "to_number",
          "to_timestamp",
          "trim",
          "trunc",
          "unnest",
          "upper",
          "version");

  private static final Set<String> KNOWN =
      Stream.concat(KEYWORDS.stream(), READING.stream()).collect(Collectors.toUnmodifiableSet());

  private SqlFunctions() {}

  /** Whether one of the tokens from {@code first} on may be a call that writes. */
  static boolean mayWrite(SqlTokens tokens, int first) {
    for (int i = first; i + 1 < tokens.size(); i++) {
      if (tokens.isKind(i + 1, '(') && isUnknownCall(tokens, i, first)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isUnknownCall(SqlTokens tokens, int i, int first) {
    if (tokens.isKind(i, 'i')) {
      return true;
    }
    if (!tokens.isKind(i, 'w')) {
      return false;
    }
    boolean foreign =
        i > first && tokens.isKind(i - 1, '.') && (i < 2 || !tokens.is(i - 2, "pg_catalog"));
    return foreign || !tokens.isAnyOf(i, KNOWN, LONGEST);
  }
}
