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
import org.cornelchute.net.http.MetricsServer;
import org.cornelchute.net.util.ProcessGauges;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.weights.LoadDecider;
import org.cornelchute.policy.weights.SwarmOptions;
import org.cornelchute.policy.weights.SwitchTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Daemon of an agent that only distributes weights: it fetches versions, shares their chunks with
 * other agents and has the engine on the same VM load them.
 */
public final class DirectAgentDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(DirectAgentDaemon.class);

  /**
   * Fraction of the link's rate that chunks may use; the rest is left for protocol headers and the
   * engine's responses.
   */
  private static final double LINK_UTILIZATION = 0.93;

  private static final long RETRY_DELAY_MILLIS = 200;
  private static final long MAX_FETCH_DELAY_MILLIS = 2_500;

  /**
   * Supersede window of {@link LoadDecider.LoadOptions} as a fraction of the limit for versions.
   */
  private static final double SUPERSEDE_WINDOW_FRACTION = 0.57;

  /** Supersede grace of {@link LoadDecider.LoadOptions} as a fraction of the same limit. */
  private static final double SUPERSEDE_GRACE_FRACTION = 0.55;

  /** Time within which a version is to be in force if the settings give no limit. */
  private static final long DEFAULT_VERSION_MILLIS = 12_000;

  private final DirectAgentSettings settings;
  private final AgentPlatform platform;
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final MetricRegistry metrics = new MetricRegistry();
  private final WireClient wireClient;
  private final LoadDuty loadDuty;
  private final WeightsDuty weightsDuty;
  private final FrameServer peerServer;
  private final MetricsServer statusServer;

  /** Creates an agent; {@link #start()} opens its sockets. */
  public DirectAgentDaemon(DirectAgentSettings settings, AgentPlatform platform, long seed) {
    this.settings = settings;
    this.platform = platform;
    this.wireClient = new WireClient(eventLoopGroup, clockMillis, metrics);
    long versionMillis =
        settings.versionMillis() > 0 ? settings.versionMillis() : DEFAULT_VERSION_MILLIS;
    SwitchTimes times = SwitchTimes.of(versionMillis);
    LoadDecider decider =
        new LoadDecider(
            new LoadDecider.LoadOptions(
                times.cutoverMillis(),
                settings.versionMillis() > 0
                    ? times.graceMillis()
                    : LoadDecider.LoadOptions.NO_FENCE_MILLIS,
                (long) (versionMillis * SUPERSEDE_WINDOW_FRACTION),
                (long) (versionMillis * SUPERSEDE_GRACE_FRACTION),
                RETRY_DELAY_MILLIS,
                MAX_FETCH_DELAY_MILLIS));
    final EventLoop loop = eventLoopGroup.next();
    this.loadDuty =
        new LoadDuty(
            loop, platform, decider, clockMillis, settings.name(), settings.region(), seed);
    MessageCodec codec = new MessageCodec();
    WeightsDuty.Options weightsOptions =
        new WeightsDuty.Options(
            settings.name(),
            settings.region(),
            () -> platform.origin().region(),
            (long) (settings.linkBytesPerSecond() * LINK_UTILIZATION),
            true,
            SwarmOptions.SLOW_LINKS,
            true);
    this.weightsDuty =
        new WeightsDuty(
            weightsOptions,
            codec,
            (manifest, chunk, callback) ->
                loop.execute(() -> platform.origin().readChunk(manifest, chunk, callback)),
            clockMillis,
            seed,
            loadDuty,
            metrics,
            DaemonRunner::halt);
    loadDuty.setWeightsDuty(weightsDuty);
    int colon = settings.peers().lastIndexOf(':');
    this.peerServer =
        new FrameServer(
            settings.peers().substring(0, colon),
            Integer.parseInt(settings.peers().substring(colon + 1)),
            codec,
            new SwarmFrameListener(),
            metrics);
    this.statusServer = new MetricsServer(eventLoopGroup, settings.operators(), metrics);
    metrics.register("engine.version", (Gauge<Long>) () -> decider.engine().version());
    metrics.register("engine.wanted", (Gauge<Long>) decider::targetVersion);
    metrics.register("store.epoch.changes", (Gauge<Long>) platform::storeEpochChanges);
    ProcessGauges.register(metrics);
  }

  @Override
  public void start() {
    final EventLoop loop = eventLoopGroup.next();
    wireClient.start();
    weightsDuty.start();
    peerServer.start();
    statusServer.start();
    loop.execute(
        () -> {
          platform.start(loop, wireClient, clockMillis, loadDuty);
          loadDuty.start();
        });
    LOG.info(
        "agent started name={} domain={} engine={} store={}",
        settings.name(),
        settings.domain(),
        settings.engine(),
        settings.store());
  }

  @Override
  public boolean drain() {
    LOG.info("stopping agent name={}", settings.name());
    return true;
  }

  @Override
  public void close() {
    peerServer.close();
    weightsDuty.close();
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Passes swarm messages from other agents to the weights duty; ignores other messages. */
  private final class SwarmFrameListener implements FrameListener {

    @Override
    public void onMessage(long connection, String from, Message message) {
      if (message instanceof SwarmMessage swarmMessage) {
        weightsDuty.onMessage(from, swarmMessage);
      }
    }

    @Override
    public void onConnectionClosed(long connection, String from) {}
  }
}
