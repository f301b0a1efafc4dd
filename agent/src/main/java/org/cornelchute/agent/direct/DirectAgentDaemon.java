package org.cornelchute.agent.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.agent.WeightsDuty;
import org.cornelchute.core.cli.Daemon;
import org.cornelchute.core.cli.DaemonRunner;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.net.frame.FrameListener;
import org.cornelchute.net.frame.FrameServer;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.http.StatusServer;
import org.cornelchute.net.util.ProcessGauges;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.weights.LoadDecider;
import org.cornelchute.policy.weights.SwarmOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires an agent that only brings weights to the engine beside it. */
public final class DirectAgentDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(DirectAgentDaemon.class);

  /** Part of the link that chunks may take; the rest is for headers and the engine's answers. */
  private static final double LINK_SHARE = 0.93;

  private static final int IMPORTERS = 8;
  private static final int NEIGHBOURS = 16;
  private static final int IN_FLIGHT = 4;
  private static final int IMPORTS_IN_FLIGHT = 2;
  private static final int PER_PEER = 1;
  private static final int UPLOAD_QUEUE = 3;
  private static final long TAKEOVER_MILLIS = 1_000;
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final long PAUSE_MILLIS = 200;
  private static final long DEFER_MILLIS = 2_500;

  /** Part of the time to be everywhere after which the second half of the engines changes over. */
  private static final double LATEST_SHARE = 0.9;

  /** The same within which a newer version must be named for that half to wait for it. */
  private static final double NEAR_SHARE = 0.57;

  /** The same for the longest time that it waits. */
  private static final double SPARE_SHARE = 0.55;

  /** Time in which a version is to be everywhere where operators set no bound. */
  private static final long UNBOUNDED_MILLIS = 12_000;

  private final DirectAgentSettings settings;
  private final AgentPlatform platform;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final MetricRegistry metrics = new MetricRegistry();
  private final WireClient client;
  private final LoadDuty duty;
  private final WeightsDuty weights;
  private final FrameServer peers;
  private final StatusServer operators;

  /** Creates an agent; {@link #start()} opens its sockets. */
  public DirectAgentDaemon(DirectAgentSettings settings, AgentPlatform platform, long seed) {
    this.settings = settings;
    this.platform = platform;
    this.client = new WireClient(group, clock);
    long allowed = settings.versionMillis() > 0 ? settings.versionMillis() : UNBOUNDED_MILLIS;
    LoadDecider decider =
        new LoadDecider(
            new LoadDecider.LoadOptions(
                (long) (allowed * LATEST_SHARE),
                (long) (allowed * NEAR_SHARE),
                (long) (allowed * SPARE_SHARE),
                PAUSE_MILLIS,
                DEFER_MILLIS));
    final EventLoop loop = group.next();
    this.duty = new LoadDuty(loop, platform, decider, clock, settings.name(), settings.region());
    MessageCodec codec = new MessageCodec();
    WeightsDuty.Place place =
        new WeightsDuty.Place(
            settings.name(),
            settings.region(),
            () -> platform.origin().region(),
            (long) (settings.linkBytesPerSecond() * LINK_SHARE),
            true,
            new SwarmOptions(
                IMPORTERS,
                NEIGHBOURS,
                IN_FLIGHT,
                IMPORTS_IN_FLIGHT,
                PER_PEER,
                UPLOAD_QUEUE,
                TAKEOVER_MILLIS,
                TIMEOUT_MILLIS,
                0),
            true);
    this.weights =
        new WeightsDuty(
            place,
            codec,
            (m, chunk, answer) -> loop.execute(() -> platform.origin().chunk(m, chunk, answer)),
            clock,
            seed,
            duty,
            metrics,
            DaemonRunner::halt);
    duty.connect(weights);
    int colon = settings.peers().lastIndexOf(':');
    this.peers =
        new FrameServer(
            settings.peers().substring(0, colon),
            Integer.parseInt(settings.peers().substring(colon + 1)),
            codec,
            new PeerFrames(),
            metrics);
    this.operators = new StatusServer(group, settings.operators(), metrics);
    metrics.register("engine.version", (Gauge<Long>) () -> decider.engine().version());
    metrics.register("engine.wanted", (Gauge<Long>) decider::targetVersion);
    ProcessGauges.register(metrics);
  }

  @Override
  public void start() {
    final EventLoop loop = group.next();
    client.start();
    weights.start();
    peers.start();
    operators.start();
    loop.execute(
        () -> {
          platform.open(loop, client, clock, duty);
          duty.start();
        });
    LOG.info(
        "start name={} domain={} engine={} store={}",
        settings.name(),
        settings.domain(),
        settings.engine(),
        settings.store());
  }

  @Override
  public boolean drain() {
    LOG.info("stop name={}", settings.name());
    return true;
  }

  @Override
  public void close() {
    peers.close();
    weights.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Hands frames of other agents to the weights duty. */
  private final class PeerFrames implements FrameListener {

    @Override
    public void received(long connection, String from, Message message) {
      if (message instanceof SwarmMessage m) {
        weights.received(from, m);
      }
    }

    @Override
    public void closed(long connection, String from) {}
  }
}
