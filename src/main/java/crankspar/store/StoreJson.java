package crankspar.store;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/** Entries as JSON, on the wire between peers and in a snapshot alike. */
final class StoreJson {
  /** Entries as read; {@code next} is a page's, null in a snapshot. */
  record Read(List<Store.Entry> entries, String next, boolean more) {}

  private static final String CHECKSUM = "crc32c";

  private StoreJson() {}

  static byte[] write(Collection<Store.Entry> entries, String next, boolean more) {
    var out = new ByteArrayOutputStream();
    try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
      g.writeStartObject();
      g.writeArrayFieldStart("items");
      for (Store.Entry e : entries) {
        g.writeStartObject();
        g.writeStringField("key", e.key());
        g.writeStringField("value", e.value());
        g.writeNumberField("counter", e.counter());
        g.writeStringField("node", e.node());
        g.writeEndObject();
      }
      g.writeEndArray();
      if (next != null) {
        g.writeStringField("cursor", next);
        g.writeBooleanField("more", more);
      }
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  static Read read(byte[] bytes) throws IOException {
    Map<?, ?> object = Json.object(new String(bytes, StandardCharsets.UTF_8));
    if (!(object.get("items") instanceof List<?> items)) {
      throw new IOException("no items");
    }
    var entries = new ArrayList<Store.Entry>();
    for (Object item : items) {
      if (!(item instanceof Map<?, ?> e)
          || !(e.get("key") instanceof String key)
          || !(e.get("counter") instanceof Long counter)
          || !(e.get("node") instanceof String node)
          || !(e.get("value") == null || e.get("value") instanceof String)) {
        throw new IOException("an item that is no entry");
      }
      entries.add(new Store.Entry(key, (String) e.get("value"), counter, node));
    }
    return new Read(
        entries,
        object.get("cursor") instanceof String s ? s : null,
        Boolean.TRUE.equals(object.get("more")));
  }

  /**
   * The content of a state file: entries with a checksum over them. Earlier releases read past the
   * checksum.
   */
  static byte[] writeState(Collection<Store.Entry> entries) {
    String items = new String(write(entries, null, false), StandardCharsets.UTF_8);
    return (items.substring(0, items.length() - 1)
            + ",\""
            + CHECKSUM
            + "\":"
            + checksum(items)
            + "}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** The entries of a state file, whole; those of earlier releases have no checksum. */
  static List<Store.Entry> readState(byte[] bytes) throws StateFile.Corrupt {
    try {
      List<Store.Entry> entries = read(bytes).entries();
      Object told = Json.object(new String(bytes, StandardCharsets.UTF_8)).get(CHECKSUM);
      if (told != null
          && !told.equals(
              checksum(new String(write(entries, null, false), StandardCharsets.UTF_8)))) {
        throw new StateFile.Corrupt("the checksum does not fit");
      }
      return entries;
    } catch (StateFile.Corrupt e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new StateFile.Corrupt(
          String.valueOf(e.getMessage()).lines().findFirst().orElse("empty"));
    }
  }

  private static long checksum(String text) {
    var crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }
}
