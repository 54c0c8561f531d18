package crankspar.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.wal.FolderDisk;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The file that outlives the process: whole, checked, and shared one update at a time. */
class StateFileTest {
  private static final List<Store.Entry> ENTRIES =
      List.of(
          new Store.Entry("returned/s-2", "1790000000000", 3, "n#1"),
          new Store.Entry("drain/s-1", "by hand", 4, "n#1"),
          new Store.Entry("drain/s-2", null, 5, "n#2"));

  @TempDir Path dir;

  private StateFile file() {
    return new StateFile(new FolderDisk(dir), "state");
  }

  private Path path() {
    return dir.resolve("state");
  }

  /**
   * Cut off at any byte, or with any byte changed, it is either recognized as corrupt or says the
   * same.
   */
  @Test
  void noByteOfItCanBeLostUnnoticed() throws Exception {
    byte[] whole = StoreJson.writeState(ENTRIES);
    assertThat(StoreJson.readState(whole)).isEqualTo(ENTRIES);
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThatThrownBy(() -> StoreJson.readState(cut))
          .as("cut off at " + length)
          .isInstanceOf(StateFile.Corrupt.class);
    }
    for (int at = 0; at < whole.length; at++) {
      byte[] flipped = whole.clone();
      flipped[at] ^= 1;
      List<Store.Entry> read = null;
      try {
        read = StoreJson.readState(flipped);
      } catch (StateFile.Corrupt e) {
        continue;
      }
      // The checksum's own key is no longer found where a letter of it is changed: then it counts
      // as an earlier release's.
      assertThat(read).as("byte " + at).isEqualTo(ENTRIES);
    }
  }

  @Test
  void whatAnEarlierReleaseWroteIsReadAndItsReaderReadsThis() throws Exception {
    Files.write(path(), StoreJson.write(ENTRIES, null, false));
    var file = file();
    assertThat(file.read()).isEqualTo(ENTRIES);
    file.update(present -> present);
    assertThat(StoreJson.read(Files.readAllBytes(path())).entries()).isEqualTo(ENTRIES);
  }

  /**
   * A writer that is killed leaves its temporary file at any length: the content stands, and the
   * next start clears it away.
   */
  @Test
  void halfAWriteBesideItChangesNothing() throws Exception {
    var file = file();
    file.update(present -> ENTRIES);
    Files.write(dir.resolve("state.1f.tmp"), Arrays.copyOf(StoreJson.writeState(ENTRIES), 20));
    var next = file();
    next.removeTemporaryFiles();
    assertThat(next.read()).isEqualTo(ENTRIES);
    try (Stream<Path> left = Files.list(dir)) {
      assertThat(left.map(p -> p.getFileName().toString()))
          .containsExactlyInAnyOrder("state", "state.copy", "state.lock");
    }
  }

  @Test
  void aCorruptFileIsKeptAsideAndTheNextUpdateBeginsAnew() throws Exception {
    Files.writeString(path(), "{\"items\":[");
    var file = file();
    assertThatThrownBy(file::read).isInstanceOf(StateFile.Corrupt.class);
    file.update(present -> ENTRIES);
    assertThat(file.read()).isEqualTo(ENTRIES);
    try (Stream<Path> left = Files.list(dir)) {
      assertThat(left.filter(p -> p.getFileName().toString().startsWith("state.corrupt-")))
          .hasSize(1);
    }
  }

  /** Guards against an operator's drain that one bad block forgets. */
  @Test
  void oneTornCopyLosesNothingAndIsWrittenAnew() throws Exception {
    for (String torn : List.of("state", "state.copy")) {
      file().update(present -> ENTRIES);
      byte[] content = Files.readAllBytes(dir.resolve(torn));
      Files.write(dir.resolve(torn), Arrays.copyOf(content, content.length / 2));
      var next = file();
      assertThat(next.read()).as(torn).isEqualTo(ENTRIES);
      assertThat(next.degraded()).as(torn).isTrue();
      next.update(present -> present);
      var healed = file();
      assertThat(healed.read()).as(torn).isEqualTo(ENTRIES);
      assertThat(healed.degraded()).as(torn).isFalse();
    }
  }

  @Test
  void whereNoCopyIsWholeItIsNotTakenForEmpty() throws Exception {
    file().update(present -> ENTRIES);
    for (String torn : List.of("state", "state.copy")) {
      Files.writeString(dir.resolve(torn), "{\"items\":[");
    }
    assertThatThrownBy(() -> file().read()).isInstanceOf(StateFile.Corrupt.class);
  }

  @Test
  void anUpdateWaitsForTheLockAndFailsWhereItIsNotFreed() throws Exception {
    var file = file();
    try (FileChannel other =
        FileChannel.open(
            dir.resolve("state.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      other.lock();
      assertThatThrownBy(() -> file.update(present -> ENTRIES))
          .hasMessageContaining("holds the lock");
    }
    assertThat(file.update(present -> ENTRIES)).isEqualTo(ENTRIES);
  }

  @Test
  void anotherProcessesUpdateIsSeenOnceAndNotOnesOwn() throws Exception {
    var one = file();
    var two = file();
    assertThat(one.readIfChanged()).isNull();
    two.update(present -> ENTRIES);
    assertThat(two.readIfChanged()).isNull();
    assertThat(one.readIfChanged()).isEqualTo(ENTRIES);
    assertThat(one.readIfChanged()).isNull();
    one.update(present -> merge(present, List.of(), new Change("drain/s-1", null), "n#1"));
    assertThat(two.readIfChanged()).contains(new Store.Entry("drain/s-1", null, 7, "calls:n#1"));
  }

  @Test
  void aChangeIsNewerThanAllThatEitherSideHolds() {
    var ours = List.of(new Store.Entry("drain/s-1", "by hand", 9, "n#1"));
    assertThat(merge(ENTRIES, ours, new Change("drain/s-1", null), "n#3"))
        .contains(new Store.Entry("drain/s-1", null, 12, "calls:n#3"));
    assertThat(merge(ENTRIES, ours, new Change("drain/s-1", "by hand"), "n#3"))
        .as("a call is news, as a call back may be on its way")
        .contains(new Store.Entry("drain/s-1", "by hand", 12, "calls:n#3"));
    assertThat(merge(ENTRIES, ours, new Change("k", null), "n#3"))
        .as("no news")
        .contains(ours.get(0))
        .noneMatch(e -> e.key().equals("k"));
  }

  private static List<Store.Entry> merge(
      List<Store.Entry> theirs, List<Store.Entry> ours, Change change, String writer) {
    var changes = new EntryMerge.Changes(List.of(change), false);
    return EntryMerge.merge(theirs, ours, changes, "n", writer);
  }
}
