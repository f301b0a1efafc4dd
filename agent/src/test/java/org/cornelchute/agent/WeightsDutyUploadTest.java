package org.cornelchute.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.frame.FrameListener;
import org.cornelchute.net.frame.FrameServer;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.util.FreePort;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When an agent sends the chunks that another one requests, over real sockets. */
@Timeout(20)
class WeightsDutyUploadTest {

  private static final int CHUNK_BYTES = 1_000;
  private static final int BYTES_PER_SECOND = 1_000;
  private static final long CHUNK_MILLIS = 1_000L * CHUNK_BYTES / BYTES_PER_SECOND;
  private static final Manifest MANIFEST =
      Manifest.of("m", "2", new byte[3 * CHUNK_BYTES], CHUNK_BYTES);

  private final BlockingQueue<Long> arrivals = new LinkedBlockingQueue<>();
  private final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private WeightsDuty duty;
  private FrameServer peer;

  @AfterEach
  void stop() {
    duty.close();
    peer.close();
  }

  private void start() throws Exception {
    MessageCodec codec = new MessageCodec();
    String address = FreePort.findAddress("127.0.0.1");
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    peer = new FrameServer("127.0.0.1", port, codec, new Arrivals(), new MetricRegistry());
    peer.start();
    duty =
        new WeightsDuty(
            new WeightsDuty.Options(
                "a1", "r1", () -> "r1", BYTES_PER_SECOND, true, SwarmOptions.DEFAULTS, true),
            codec,
            (manifest, chunk, callback) -> {},
            clock,
            1,
            manifest -> {},
            new MetricRegistry(),
            (name, cause) -> {});
    duty.start();
    Member member =
        new Member("a2", Role.AGENT, address, "r1", "d", "", 1, 1, false, Generation.NONE, "w");
    duty.updateMembers(List.of(member), Set.of("a2"));
    duty.startFetch(MANIFEST);
    for (int chunk = 0; chunk < MANIFEST.chunks().size(); chunk++) {
      duty.addLocalChunk(MANIFEST, chunk, new byte[CHUNK_BYTES]);
    }
  }

  /**
   * Failure: a chunk was held back for the time that its bytes take on the link, and then took that
   * time on the link, so that agents got chunks at two thirds of the rate of their links.
   */
  @Test
  void sendsChunkAtOnceWhileTheLinkIsFree() throws Exception {
    start();
    TimeUnit.MILLISECONDS.sleep(300);
    final long requestedAt = clock.getAsLong();
    for (int chunk = 0; chunk < 2; chunk++) {
      duty.onMessage("a2", new SwarmMessage.ChunkRequest(MANIFEST.digest(), chunk));
    }
    assertThat(arrivals.take() - requestedAt).isLessThan(CHUNK_MILLIS / 2);
    // The next one follows at the rate of the link.
    assertThat(arrivals.take() - requestedAt).isBetween(CHUNK_MILLIS - 10, 2 * CHUNK_MILLIS - 100);
  }

  private final class Arrivals implements FrameListener {

    @Override
    public void onMessage(long connection, String from, Message message) {
      if (message instanceof SwarmMessage.ChunkData) {
        arrivals.add(clock.getAsLong());
      }
    }

    @Override
    public void onConnectionClosed(long connection, String from) {}
  }
}
