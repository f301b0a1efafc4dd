package org.cornelchute.net.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A copy of a table is confirmed soon after the store can be reached again. */
@Timeout(10)
class TableWatchTest {

  private static final long WAIT_MILLIS = 1_800;

  private final DefaultEventLoop loop = new DefaultEventLoop();
  private final FakeStore store = new FakeStore();
  private final List<Long> confirmations = new ArrayList<>();
  private long now = 1_000;
  private TableWatch watch;

  @BeforeEach
  void start() throws Exception {
    watch =
        new TableWatch(
            loop,
            store,
            "t",
            WAIT_MILLIS,
            0,
            () -> now,
            1,
            new TableWatch.Listener() {
              @Override
              public void onChanged(TableChange change) {
                confirmations.add(change.requestedAtMillis());
              }

              @Override
              public void onUnchanged(long asked) {
                confirmations.add(asked);
              }
            });
    watch.start();
    onLoop(() -> store.reads.remove(0).accept(answer(false)));
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void confirmsCopyWithShortPollAfterOutage() throws Exception {
    assertThat(store.waits).containsExactly(WAIT_MILLIS);
    onLoop(() -> store.follows.remove(0).accept(Either.left(Failure.unavailable("down"))));
    now = 5_000;
    while (onLoopGet(store.follows::isEmpty)) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(store.waits.get(1)).isLessThan(50);
    onLoop(() -> store.follows.remove(0).accept(answer(false)));
    assertThat(confirmations).endsWith(5_000L);
    assertThat(store.waits.get(2)).isEqualTo(WAIT_MILLIS);
  }

  @Test
  void revalidatesDuringLongPoll() throws Exception {
    now = 9_000;
    onLoop(watch::revalidate);
    assertThat(store.waits.get(1)).isLessThan(50);
    onLoop(() -> store.follows.remove(1).accept(answer(false)));
    assertThat(confirmations).endsWith(9_000L);
    // An answer that tells of a lost history confirms nothing.
    now = 12_000;
    onLoop(watch::revalidate);
    onLoop(() -> store.follows.remove(1).accept(answer(true)));
    assertThat(confirmations).endsWith(9_000L);
  }

  private static Either<Failure, RowsResponse> answer(boolean lost) {
    return Either.right(new RowsResponse(List.of(), 7, 0, lost));
  }

  private void onLoop(Runnable step) throws InterruptedException, ExecutionException {
    loop.submit(step).get();
  }

  private <T> T onLoopGet(Callable<T> step) throws InterruptedException, ExecutionException {
    return loop.submit(step).get();
  }

  private static final class FakeStore implements RowStore {
    private final List<Consumer<Either<Failure, RowsResponse>>> reads = new ArrayList<>();
    private final List<Consumer<Either<Failure, RowsResponse>>> follows = new ArrayList<>();
    private final List<Long> waits = new ArrayList<>();

    @Override
    public void readTable(String table, Consumer<Either<Failure, RowsResponse>> answer) {
      reads.add(answer);
    }

    @Override
    public void pollChanges(
        String table, long after, long waitMillis, Consumer<Either<Failure, RowsResponse>> answer) {
      waits.add(waitMillis);
      follows.add(answer);
    }

    @Override
    public void create(
        String table, String key, byte[] value, Consumer<Either<Failure, Long>> answer) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void write(
        String table, String key, byte[] value, Consumer<Either<Failure, Long>> answer) {
      throw new UnsupportedOperationException();
    }
  }
}
