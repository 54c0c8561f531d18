package crankspar.store;

import crankspar.net.Loop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Logger;

/** Keeps the store in a file, where the operator wants one: read at the start, written soon after a change. */
public final class Snapshots {
    private static final Logger LOG = Logger.getLogger(Snapshots.class.getName());
    private static final double SOON = 500;

    private final Loop loop;
    private final Store store;
    private final Path file;
    private boolean due;

    /** Loads what the file holds, if there is one. */
    public Snapshots(Loop loop, Store store, Path file) throws IOException {
        this.loop = loop;
        this.store = store;
        this.file = file;
        if (Files.exists(file)) {
            store.load(StoreJson.read(Files.readAllBytes(file)).entries());
        }
        store.onChange(e -> changed());
    }

    /** Many changes at once make one write. */
    private void changed() {
        if (!due) {
            due = true;
            loop.after(SOON, this::save);
        }
    }

    private void save() {
        due = false;
        try {
            StoreJson.save(file, store.all());
        } catch (IOException e) {
            LOG.warning("the snapshot was not written: " + e);
        }
    }
}
