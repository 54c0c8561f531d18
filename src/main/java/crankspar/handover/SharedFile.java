package crankspar.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/** A file of fixed size that the processes of one pooler map. */
final class SharedFile {
  private SharedFile() {}

  /**
   * Maps the file; it is made where there is none, for its owner alone, with all of its room at
   * once. Guards against a file system that has none left: found here it is an exception, found at
   * a write to mapped memory it would end the loop.
   */
  static ByteBuffer map(Path file, int bytes) throws IOException {
    var options =
        Set.of(StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    var owner = PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));
    try (var channel = FileChannel.open(file, options, owner)) {
      long size = channel.size();
      ByteBuffer room = ByteBuffer.allocate((int) Math.max(0, bytes - size));
      while (room.hasRemaining()) {
        size += channel.write(room, size);
      }
      return channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes).order(ByteOrder.nativeOrder());
    }
  }
}
