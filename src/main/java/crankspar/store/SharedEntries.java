package crankspar.store;

import crankspar.net.Loop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;

/**
 * Some of the store's entries in a small file that two processes of one pooler share while one replaces the
 * other. Versions decide between them as between peers; what a write of the other's has overwritten is
 * written again.
 */
public final class SharedEntries {
    private static final Logger LOG = Logger.getLogger(SharedEntries.class.getName());
    /** How often the other's writes are looked for (ms): well within the grace of a drain. */
    private static final double PERIOD = 50;

    private final Loop loop;
    private final Store store;
    private final Path file;
    private final List<String> prefixes;
    private Object seen;
    private boolean reading;

    public SharedEntries(Loop loop, Store store, Path file, List<String> prefixes) {
        this.loop = loop;
        this.store = store;
        this.file = file;
        this.prefixes = prefixes;
        look();
        store.onChange(e -> {
            if (!reading && shared(e)) {
                read();                       // so that no entry of the other's is lost by this write
                save();
            }
        });
    }

    private boolean shared(Store.Entry e) { return prefixes.stream().anyMatch(e.key()::startsWith); }

    private List<Store.Entry> ours() { return store.all().stream().filter(this::shared).toList(); }

    private void look() {
        try {
            var about = Files.readAttributes(file, BasicFileAttributes.class);
            // Each write makes another file of it: its key tells even two writes within a tick of the clock.
            Object now = List.of(String.valueOf(about.fileKey()), about.lastModifiedTime());
            if (!now.equals(seen)) {
                seen = now;
                read();
            }
        } catch (NoSuchFileException e) {
            // nothing was marked yet
        } catch (IOException e) {
            LOG.fine("no look at the shared entries: " + e);
        }
        loop.after(PERIOD, this::look);
    }

    /** Guards against a file that is spoilt, or another program's: it is passed over. */
    private void read() {
        var theirs = new ArrayList<Store.Entry>();
        reading = true;
        try {
            for (Store.Entry e : StoreJson.read(Files.readAllBytes(file)).entries()) {
                if (shared(e)) {
                    theirs.add(e);
                    store.take(e);
                }
            }
        } catch (NoSuchFileException e) {
            return;
        } catch (IOException | RuntimeException | Store.Refused e) {
            LOG.warning("the shared entries cannot be read: " + e.getMessage());
            return;
        } finally {
            reading = false;
        }
        if (!theirs.containsAll(ours())) {
            save();
        }
    }

    private void save() {
        try {
            StoreJson.save(file, ours());
        } catch (IOException e) {
            LOG.warning("the shared entries were not written: " + e);
        }
    }
}
