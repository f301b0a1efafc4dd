package org.cornelchute.entry.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.cli.Daemon;
import org.cornelchute.net.http.MetricsServer;
import org.cornelchute.net.http.TextPageHandler;
import org.cornelchute.net.util.ProcessGauges;
import org.cornelchute.net.wire.ServerSockets;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.CallOptions;
import org.cornelchute.policy.weights.SwitchTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Daemon of an entry that sends calls directly to endpoints: one event loop and one decider. */
public final class DirectEntryDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(DirectEntryDaemon.class);
  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Safety margin on time limits, for the latency of messages and for timers that fire late. */
  private static final long TIMING_MARGIN_MILLIS = 300;

  /** Longer than the age of any version, also of one whose age is unknown. */
  private static final long NO_VERSION_LIMIT_MILLIS = Long.MAX_VALUE / 2;

  /** Share of the permitted retries that the entry uses, to stay below the limit. */
  private static final double RETRY_SAFETY_FACTOR = 0.8;

  /** Time that load balancers need to stop sending connections once the readiness check fails. */
  private static final long DEREGISTRATION_MILLIS = 2_500;

  /**
   * Maximum time from the start of a drain until new calls are rejected. Load balancers send none
   * by then, and a stream that starts later might not end before the process is killed.
   */
  private static final long MAX_DRAIN_ACCEPT_MILLIS = 2_800;

  /** Time at the end of a drain that is reserved for calls in flight, unless the drain is short. */
  private static final long COMPLETION_MILLIS = 3_500;

  private static final long POLL_INTERVAL_MILLIS = 50;

  /** Time in which calls on connections that were just accepted are read and rejected. */
  private static final long ACCEPTED_MILLIS = 150;

  private final DirectSettings settings;
  private final ServingStateSource stateSource;
  private final MetricRegistry metrics = new MetricRegistry();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final WireClient client;
  private final Optional<OpenCallsReporter> openCallsReporter;
  private final CallDuty duty;
  private volatile Channel callerSocket;

  /**
   * Creates an entry; {@link #start()} opens its sockets.
   *
   * @param settings checked settings
   * @param headerNames names of the HTTP headers
   * @param stateSource source of the configuration, endpoints and versions
   * @param seed seed of the random number generator
   */
  public DirectEntryDaemon(
      DirectSettings settings,
      CallHeaderNames headerNames,
      ServingStateSource stateSource,
      long seed) {
    this.settings = settings;
    this.stateSource = stateSource;
    this.client = new WireClient(group, clockMillis, metrics);
    CallDecider decider = new CallDecider(toCallOptions(settings), seed, clockMillis.getAsLong());
    if (settings.peers().isEmpty()) {
      this.openCallsReporter = Optional.empty();
    } else {
      this.openCallsReporter =
          Optional.of(
              new OpenCallsReporter(
                  group.next(),
                  group,
                  decider,
                  clockMillis,
                  settings.name(),
                  settings.region(),
                  settings.peers(),
                  metrics));
    }
    this.duty =
        new CallDuty(
            group.next(),
            client,
            decider,
            headerNames,
            clockMillis,
            openCallsReporter,
            stateSource,
            metrics);
    metrics.register("calls.open", (Gauge<Integer>) duty::unendedRequestCount);
    EndpointGauges.register(metrics, decider, clockMillis);
    metrics.register("store.epoch.changes", (Gauge<Long>) stateSource::storeEpochChanges);
    ProcessGauges.register(metrics);
  }

  @Override
  public void start() {
    EventLoop loop = group.next();
    client.start();
    openCallsReporter.ifPresent(OpenCallsReporter::start);
    loop.execute(duty::start);
    callerSocket = ServerSockets.listen(group, settings.callers(), this::initCallerChannel);
    ServerSockets.listen(
        group,
        settings.readiness(),
        c -> c.pipeline().addLast(new HttpServerCodec(), readinessHandler()));
    new MetricsServer(
            group,
            settings.operators(),
            metrics,
            Map.of(PlacementPage.PATH, new PlacementPage(duty)))
        .start();
    loop.execute(() -> stateSource.start(loop, client, clockMillis, duty));
    LOG.info(
        "entry started name={} domain={} callers={} store={}",
        settings.name(),
        settings.domain(),
        settings.callers(),
        settings.store());
  }

  /**
   * Fails the readiness check, completes the calls in flight and returns before the platform kills
   * the process.
   */
  @Override
  public boolean drain() {
    long startedAt = clockMillis.getAsLong();
    callOnEventLoop(
        () -> {
          duty.startDraining();
          return 0;
        });
    LOG.info("entry drain started open={}", callOnEventLoop(duty::openCallCount));
    boolean rejecting = false;
    while (true) {
      long elapsedMillis = clockMillis.getAsLong() - startedAt;
      boolean outOfTime = elapsedMillis >= settings.stopMillis() - TIMING_MARGIN_MILLIS;
      if ((outOfTime || elapsedMillis >= DEREGISTRATION_MILLIS)
          && callOnEventLoop(duty::tryFinish)) {
        LOG.info("entry drain ended open=0 ms={}", elapsedMillis);
        // Requests that have arrived by now must be read and rejected before the process ends.
        sleep(POLL_INTERVAL_MILLIS);
        return true;
      }
      if (outOfTime) {
        int openCalls = callOnEventLoop(duty::unfinishedCallCount);
        LOG.info("entry drain ended open={} ms={}", openCalls, elapsedMillis);
        callOnEventLoop(
            () -> {
              duty.endOpenCalls();
              return 0;
            });
        // The rejections must be sent before the process ends.
        sleep(POLL_INTERVAL_MILLIS);
        return false;
      }
      if (!rejecting
          && elapsedMillis
              >= Math.min(MAX_DRAIN_ACCEPT_MILLIS, settings.stopMillis() - completionMillis())) {
        rejecting = true;
        callOnEventLoop(
            () -> {
              duty.rejectNewCalls();
              return 0;
            });
      }
      sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /**
   * Closes the socket for callers first, so that connections are refused from then on, and the
   * connections a moment later. A connection that ends without a response would leave its caller
   * unsure whether the call was executed.
   */
  @Override
  public void close() {
    if (callerSocket != null && callerSocket.isOpen()) {
      callerSocket.close().syncUninterruptibly();
      sleep(ACCEPTED_MILLIS);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Returns the time reserved for calls in flight; at most half of the drain, so that a short drain
   * also accepts calls.
   */
  private long completionMillis() {
    return Math.min(COMPLETION_MILLIS, settings.stopMillis() / 2);
  }

  private static CallOptions toCallOptions(DirectSettings settings) {
    SwitchTimes times = SwitchTimes.of(settings.versionMillis());
    return new CallOptions(
        settings.name(),
        settings.domain(),
        settings.region(),
        settings.keyAgeMillis() - TIMING_MARGIN_MILLIS,
        settings.configMillis() + TIMING_MARGIN_MILLIS,
        settings.versionMillis() > 0 ? times.graceMillis() : NO_VERSION_LIMIT_MILLIS,
        settings.versionMillis() > 0 ? times.cutoffMillis() : NO_VERSION_LIMIT_MILLIS,
        settings.retryRatio() * RETRY_SAFETY_FACTOR,
        settings.retryAllowance() * RETRY_SAFETY_FACTOR,
        settings.retryWindowMillis(),
        settings.coldOverrun(),
        settings.coldAllowance());
  }

  private void initCallerChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(new HttpServerCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
        .addLast(new CallerConnection(duty));
  }

  private ChannelHandler readinessHandler() {
    return new TextPageHandler(() -> duty.isReady() ? "" : null);
  }

  private <T> T callOnEventLoop(Callable<T> task) {
    try {
      return group.submit(task).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the event loop", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("task failed on the event loop", e);
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
