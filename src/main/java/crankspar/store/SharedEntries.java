package crankspar.store;

import crankspar.net.Loop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Some of the store's entries in a small file that two processes of one pooler share while one replaces the
 * other. Versions decide between them as between peers; what a write of the other's has overwritten is
 * written again.
 *
 * <p>The file is read and written by a thread of its own, one task at a time; the store stays the loop's. Guards against a
 * loop that stands still with its file system: of some 120 writes on a day one took 39 ms and one 63, and pauses of 220 to
 * 240 ms in which requests were lost stood between two marks. Nothing is queued but the newest state to be written.
 */
public final class SharedEntries implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SharedEntries.class.getName());
    /** How often the other's writes are looked for (ms): well within the grace of a drain. */
    private static final long PERIOD = 50;
    private static final long CLOSE_MOST = 200;

    private final Loop loop;
    private final Store store;
    private final Path file;
    private final List<String> prefixes;
    private final ScheduledExecutorService files = Executors.newSingleThreadScheduledExecutor(task -> {
        var thread = new Thread(task, "shared-entries");
        thread.setDaemon(true);
        return thread;
    });
    /** On the files' thread: the file as it was last read. */
    private Object seen;
    /** On the loop: what came from the file is no news to it; a write is due already. */
    private boolean reading, due;

    /** On the loop; what the file holds is in the store when this returns. */
    public SharedEntries(Loop loop, Store store, Path file, List<String> prefixes) {
        this.loop = loop;
        this.store = store;
        this.file = file;
        this.prefixes = prefixes;
        Collection<Store.Entry> first = changed();
        if (first != null) {
            take(first);
        }
        store.onChange(e -> {
            if (!reading && shared(e)) {
                write();
            }
        });
        files.scheduleWithFixedDelay(this::look, PERIOD, PERIOD, TimeUnit.MILLISECONDS);
    }

    private boolean shared(Store.Entry e) { return prefixes.stream().anyMatch(e.key()::startsWith); }

    private List<Store.Entry> ours() { return store.all().stream().filter(this::shared).toList(); }

    // ---- On the loop.
    private void take(Collection<Store.Entry> theirs) {
        reading = true;
        try {
            for (Store.Entry e : theirs) {
                store.take(e);
            }
        } catch (Store.Refused e) {
            LOG.warning("the shared entries cannot be taken: " + e.getMessage());
        } finally {
            reading = false;
        }
        if (!theirs.containsAll(ours())) {
            write();
        }
    }

    /** Many changes of one event make one write. */
    private void write() {
        if (due) {
            return;
        }
        due = true;
        loop.runUrgent(() -> {
            due = false;
            List<Store.Entry> ours = ours();
            try {
                files.execute(() -> save(ours));
            } catch (RejectedExecutionException e) {
                LOG.fine("a mark after the end");
            }
        });
    }

    // ---- On the files' thread.
    private void look() {
        Collection<Store.Entry> theirs = changed();
        if (theirs != null) {
            loop.runUrgent(() -> take(theirs));
        }
    }

    /** What the file holds, or null where it holds nothing new. A file that is spoilt, or another program's, is passed over. */
    private Collection<Store.Entry> changed() {
        try {
            var about = Files.readAttributes(file, BasicFileAttributes.class);
            // Each write makes another file of it: its key tells even two writes within a tick of the clock.
            Object now = List.of(String.valueOf(about.fileKey()), about.lastModifiedTime());
            if (now.equals(seen)) {
                return null;
            }
            seen = now;
            return read();
        } catch (NoSuchFileException e) {
            return null;                      // nothing was marked yet
        } catch (IOException | RuntimeException e) {
            LOG.warning("the shared entries cannot be read: " + e.getMessage());
            return null;
        }
    }

    private Collection<Store.Entry> read() throws IOException {
        return StoreJson.read(Files.readAllBytes(file)).entries().stream().filter(this::shared).toList();
    }

    /** Read first, so that no entry of the other's is lost by this write. */
    private void save(List<Store.Entry> ours) {
        Map<String, Store.Entry> all = new LinkedHashMap<>();
        Collection<Store.Entry> theirs = List.of();
        try {
            theirs = read();
        } catch (NoSuchFileException e) {
            LOG.fine("the first mark");
        } catch (IOException | RuntimeException e) {
            LOG.warning("the shared entries cannot be read: " + e.getMessage());
        }
        var both = new ArrayList<>(theirs);
        both.addAll(ours);
        both.forEach(e -> all.merge(e.key(), e, (a, b) -> b.newerThan(a) ? b : a));
        try {
            StoreJson.save(file, all.values());
        } catch (IOException e) {
            LOG.warning("the shared entries were not written: " + e);
        }
    }

    /** The last marks are written; a file system that stands still is not waited for longer than this (ms). */
    @Override public void close() {
        files.shutdown();
        try {
            if (!files.awaitTermination(CLOSE_MOST, TimeUnit.MILLISECONDS)) {
                LOG.warning("the last marks may not be in the shared file");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
