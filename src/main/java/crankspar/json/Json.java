package crankspar.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.StreamWriteFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * JSON of any shape, read with Jackson's streaming parser: peers add keys, and nothing here should
 * mind.
 */
public final class Json {
  /** One factory for all: it keeps its own tables of names. */
  public static final JsonFactory FACTORY =
      JsonFactory.builder()
          .disable(StreamReadFeature.AUTO_CLOSE_SOURCE)
          .disable(StreamWriteFeature.AUTO_CLOSE_TARGET)
          .build();

  private Json() {}

  /** The object that a text holds; an exception that names the place where it does not. */
  public static Map<?, ?> object(String text) throws IOException {
    try (JsonParser p = FACTORY.createParser(text)) {
      p.nextToken();
      if (p.currentToken() != null && value(p) instanceof Map<?, ?> map) {
        return map;
      }
      throw new IOException("a JSON object was expected");
    }
  }

  /** One value of any shape; numbers become Long or Double. */
  public static Object value(JsonParser p) throws IOException {
    switch (p.currentToken()) {
      case VALUE_STRING:
        return p.getText();
      case VALUE_NUMBER_INT:
        return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? (Object) p.getBigIntegerValue().longValue()
            : (Object) p.getLongValue();
      case VALUE_NUMBER_FLOAT:
        return p.getDoubleValue();
      case VALUE_TRUE, VALUE_FALSE:
        return p.getBooleanValue();
      case VALUE_NULL:
        return null;
      case START_ARRAY:
        {
          var list = new ArrayList<Object>(10);
          while (p.nextToken() != JsonToken.END_ARRAY) {
            list.add(value(p));
          }
          return list;
        }
      case START_OBJECT:
        {
          var map = new LinkedHashMap<String, Object>();
          while (p.nextToken() == JsonToken.FIELD_NAME) {
            String key = p.currentName();
            p.nextToken();
            map.put(key, value(p));
          }
          return map;
        }
      default:
        throw new IOException("unexpected " + p.currentToken());
    }
  }
}
