package crankspar.store;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Entries as JSON, on the wire between peers and in a snapshot alike. */
final class StoreJson {
    /** Entries as read; {@code next} is a page's, null in a snapshot. */
    record Read(List<Store.Entry> entries, String next, boolean more) { }

    private StoreJson() { }

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
            if (!(item instanceof Map<?, ?> e) || !(e.get("key") instanceof String key)
                    || !(e.get("counter") instanceof Long counter) || !(e.get("node") instanceof String node)
                    || !(e.get("value") == null || e.get("value") instanceof String)) {
                throw new IOException("an item that is no entry");
            }
            entries.add(new Store.Entry(key, (String) e.get("value"), counter, node));
        }
        return new Read(entries, object.get("cursor") instanceof String s ? s : null,
                Boolean.TRUE.equals(object.get("more")));
    }

    /** Written beside and renamed, so that a reader or a crash meets the old one or the new one, whole. */
    static void save(Path file, Collection<Store.Entry> entries) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        Files.write(beside, write(entries, null, false));
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
