package org.cornelchute.entry.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires an entry that sends calls straight to endpoints: one event loop, one decider. */
public final class DirectEntryDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(DirectEntryDaemon.class);
  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Part of a bound that is left for the way of a message and for timers that fire late. */
  private static final long TIMING_MARGIN_MILLIS = 300;

  private static final long VERSION_GRACE_MARGIN_MILLIS = 600;
  private static final long VERSION_CUTOFF_MARGIN_MILLIS = 400;
  private static final double RETRY_SAFETY_FACTOR = 0.8;

  /** Time that balancers need to stop sending new connections. */
  private static final long DEREGISTRATION_MILLIS = 2_500;

  /**
   * Time after the order to stop in which calls are still taken: balancers send none by then, and a
   * stream that begins later may not end in time.
   */
  private static final long MAX_DRAIN_ACCEPT_MILLIS = 2_800;

  /** Least time before the end of the process in which only calls that run are finished. */
  private static final long COMPLETION_MILLIS = 3_500;

  private static final long POLL_INTERVAL_MILLIS = 50;

  private final DirectSettings settings;
  private final ServingStateSource stateSource;
  private final MetricRegistry metrics = new MetricRegistry();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final WireClient client;
  private final Optional<OpenCallsReporter> openCallsReporter;
  private final CallDuty duty;

  /**
   * Creates an entry; {@link #start()} opens its sockets.
   *
   * @param settings checked settings
   * @param headers names of headers
   * @param views what feeds its beliefs
   * @param seed seed of the random choices
   */
  public DirectEntryDaemon(
      DirectSettings settings, CallHeaderNames headers, ServingStateSource views, long seed) {
    this.settings = settings;
    this.stateSource = views;
    this.client = new WireClient(group, clockMillis);
    CallDecider decider = new CallDecider(toCallOptions(settings), seed);
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
                  settings.peers(),
                  metrics));
    }
    this.duty =
        new CallDuty(
            group.next(),
            client,
            decider,
            headers,
            clockMillis,
            openCallsReporter,
            views::refresh,
            metrics);
    metrics.register("calls.open", (Gauge<Integer>) duty::openCallCount);
    ProcessGauges.register(metrics);
  }

  @Override
  public void start() {
    EventLoop loop = group.next();
    client.start();
    openCallsReporter.ifPresent(OpenCallsReporter::start);
    loop.execute(duty::start);
    ServerSockets.listen(group, settings.callers(), this::initCallerChannel);
    ServerSockets.listen(
        group,
        settings.readiness(),
        c -> c.pipeline().addLast(new HttpServerCodec(), readinessPage()));
    new MetricsServer(group, settings.operators(), metrics).start();
    loop.execute(() -> stateSource.start(loop, client, clockMillis, duty));
    LOG.info(
        "start name={} domain={} callers={} store={}",
        settings.name(),
        settings.domain(),
        settings.callers(),
        settings.store());
  }

  /** Goes out of rotation, finishes what runs, and returns before the process is ended by force. */
  @Override
  public boolean drain() {
    long began = clockMillis.getAsLong();
    callOnEventLoop(
        () -> {
          duty.startDraining();
          return 0;
        });
    LOG.info("stop begins open={}", callOnEventLoop(duty::openCallCount));
    boolean refusing = false;
    while (true) {
      long spent = clockMillis.getAsLong() - began;
      int open = callOnEventLoop(duty::openCallCount);
      if (spent >= settings.stopMillis() - TIMING_MARGIN_MILLIS
          || spent >= DEREGISTRATION_MILLIS && open == 0) {
        LOG.info("stop ends open={} ms={}", open, spent);
        return open == 0;
      }
      if (!refusing
          && spent
              >= Math.min(MAX_DRAIN_ACCEPT_MILLIS, settings.stopMillis() - completionMillis())) {
        refusing = true;
        callOnEventLoop(
            () -> {
              duty.rejectNewCalls();
              return 0;
            });
      }
      sleep();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns how long before its end the process takes no new calls: not all of a short stop. */
  private long completionMillis() {
    return Math.min(COMPLETION_MILLIS, settings.stopMillis() / 2);
  }

  private static CallOptions toCallOptions(DirectSettings s) {
    return new CallOptions(
        s.name(),
        s.domain(),
        s.region(),
        s.keyAgeMillis() - TIMING_MARGIN_MILLIS,
        s.configMillis() + TIMING_MARGIN_MILLIS,
        s.versionMillis() > 0
            ? s.versionMillis() - VERSION_GRACE_MARGIN_MILLIS
            : Long.MAX_VALUE / 4,
        s.versionMillis() > 0
            ? s.versionMillis() - VERSION_CUTOFF_MARGIN_MILLIS
            : Long.MAX_VALUE / 4,
        s.retryRatio() * RETRY_SAFETY_FACTOR,
        s.retryAllowance() * RETRY_SAFETY_FACTOR,
        s.retryWindowMillis(),
        s.coldOverrun(),
        s.coldAllowance());
  }

  private void initCallerChannel(Channel c) {
    c.pipeline()
        .addLast(new HttpServerCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
        .addLast(new CallerConnection(duty));
  }

  private ChannelHandler readinessPage() {
    return new TextPageHandler(() -> duty.isReady() ? "" : null);
  }

  private <T> T callOnEventLoop(Callable<T> question) {
    try {
      return group.submit(question).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while stopping", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("the duty of calls is broken", e);
    }
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
