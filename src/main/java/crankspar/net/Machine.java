package crankspar.net;

import java.nio.ByteBuffer;

/** A protocol's state for one connection: it is fed bytes and knows no socket but through {@link Out}. */
public interface Machine {
    /** The buffer of one read (bytes). */
    int READ = 8 * 1024;

    /** What a machine may do with its connection. */
    interface Out {
        /** Queues bytes; {@code written} runs once the last of them has left. */
        void write(byte[] bytes, int length, Runnable written);
        default void write(byte[] bytes) { write(bytes, bytes.length, null); }
        /**
         * Whether the last byte of what was written is with the system, which has not said yet what became of it: all of it may
         * have left. Also of a connection that was closed just then.
         */
        default boolean underway() { return false; }
        /** Whether something that was written has not left yet. */
        default boolean unsent() { return false; }
        /** Whether the peer is read: not while what it sends has nowhere to go. */
        default void reading(boolean on) { }
        /** Ends what is sent once all that is queued has left, and still reads for a moment. */
        void finish();
        /** Ends the connection at once; the machine hears no more. */
        void close();
        /** As {@link #close}, and the peer is told by a reset instead of an end. */
        default void reset() { close(); }
    }

    Machine DEAF = new Machine() {
        @Override public void opened(Out out) { }
        @Override public void received(ByteBuffer in) { in.position(in.limit()); }
        @Override public void ended(String why) { }
    };

    void opened(Out out);
    /** Takes all the bytes. */
    void received(ByteBuffer in);
    /** The peer has said that it sends no more, before {@link #ended}: an answer without a length ends with this, never with a break. */
    default void finished() { }
    /** The peer or the network ended it, or it never came up: told once, never after an own close. */
    void ended(String why);
    /** The connection is closed, whoever closed it: told once, and last. */
    default void closed() { }
    /** The buffer while the peer says little (bytes); one that a read has filled grows to {@link #READ} for the next. */
    default int firstRead() { return READ; }
    /** Whether it brings news of what has changed, to be heard before any work after the process stood still. */
    default boolean urgent() { return false; }
}
