package org.cornelchute.net.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.junit.jupiter.api.Test;

/**
 * Failures: a row that a restore of the store lost is not written again, and a write has a
 * condition on a version that was given out twice.
 */
class RowWriterTest {

  private static final byte[] VALUE = "v".getBytes(StandardCharsets.UTF_8);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final OneRowStore store = new OneRowStore();
  private final RowWriter writer =
      new RowWriter(channel.eventLoop(), store, "t", "k", () -> 250, failure -> {});

  RowWriterTest() {
    channel.freezeTime();
    store.epochs.accept(EpochTracker.UNKNOWN, 1);
  }

  @Test
  void writesTheRowAgainIfTheRestoredStoreLacksIt() {
    writer.write(VALUE);
    assertThat(store.row.version()).isEqualTo(8);
    store.row = null;
    store.epochs.accept(1, 2);
    pass();
    assertThat(store.row.value()).isEqualTo(VALUE);
    assertThat(writer.isWriting()).isFalse();
  }

  @Test
  void readsTheRowBeforeReplacingItAfterRestore() {
    writer.write(VALUE);
    store.row = new StoredRow("k", "old".getBytes(StandardCharsets.UTF_8), 3, false);
    store.epochs.accept(1, 4);
    writer.write("w".getBytes(StandardCharsets.UTF_8));
    pass();
    assertThat(store.row.value()).asString().isEqualTo("w");
    assertThat(store.conditions).containsExactly(0L, 3L);
  }

  @Test
  void sendsNoWriteIfTheRestoredStoreHasTheRow() {
    writer.write(VALUE);
    store.epochs.accept(1, 2);
    pass();
    assertThat(store.conditions).containsExactly(0L);
    assertThat(store.reads).isEqualTo(1);
  }

  private void pass() {
    channel.advanceTimeBy(2_000, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  private static final class OneRowStore implements RowStore {
    private final EpochTracker epochs = new EpochTracker();
    private final List<Long> conditions = new ArrayList<>();
    private StoredRow row;
    private int reads;

    @Override
    public EpochTracker epochs() {
      return epochs;
    }

    @Override
    public void readTable(String table, Consumer<Either<Failure, RowsResponse>> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void readRange(
        String table,
        String firstKey,
        String endKey,
        Consumer<Either<Failure, RowsResponse>> callback) {
      reads++;
      callback.accept(
          Either.right(new RowsResponse(row == null ? List.of() : List.of(row), 9, 0, false)));
    }

    @Override
    public void pollChanges(
        String table,
        long afterVersion,
        long waitMillis,
        Consumer<Either<Failure, RowsResponse>> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void create(
        String table, String key, byte[] value, Consumer<Either<Failure, Long>> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void replace(
        String table,
        String key,
        byte[] value,
        long expectedVersion,
        Consumer<Either<Failure, Long>> callback) {
      conditions.add(expectedVersion);
      if (expectedVersion != (row == null ? 0 : row.version())) {
        callback.accept(Either.left(new Failure(Failure.Code.CONFLICT, "other version")));
        return;
      }
      row = new StoredRow(key, value, expectedVersion + 8, false);
      callback.accept(Either.right(row.version()));
    }

    @Override
    public void write(
        String table, String key, byte[] value, Consumer<Either<Failure, Long>> callback) {
      throw new UnsupportedOperationException();
    }
  }
}
