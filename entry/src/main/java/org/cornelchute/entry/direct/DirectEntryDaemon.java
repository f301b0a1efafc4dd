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
import org.cornelchute.net.http.StatusPage;
import org.cornelchute.net.http.StatusServer;
import org.cornelchute.net.util.ProcessGauges;
import org.cornelchute.net.wire.Listening;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.CallOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires an entry that sends calls straight to endpoints: one event loop, one decider. */
public final class DirectEntryDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(DirectEntryDaemon.class);
  private static final int MAX_INITIAL_LINE = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Part of a bound that is left for the way of a message and for timers that fire late. */
  private static final long MARGIN_MILLIS = 300;

  private static final long VERSION_MARGIN_MILLIS = 600;
  private static final long FINAL_MARGIN_MILLIS = 400;
  private static final double RETRY_SHARE = 0.8;

  /** Time that balancers need to stop sending new connections. */
  private static final long OUT_OF_ROTATION_MILLIS = 2_500;

  /**
   * Time after the order to stop in which calls are still taken: balancers send none by then, and a
   * stream that begins later may not end in time.
   */
  private static final long TAKING_MILLIS = 2_800;

  /** Least time before the end of the process in which only calls that run are finished. */
  private static final long FINISH_MILLIS = 3_500;

  private static final long POLL_MILLIS = 50;

  private final DirectSettings settings;
  private final ViewSource views;
  private final MetricRegistry metrics = new MetricRegistry();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final WireClient client;
  private final Optional<LoadSharing> sharing;
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
      DirectSettings settings, CallHeaders headers, ViewSource views, long seed) {
    this.settings = settings;
    this.views = views;
    this.client = new WireClient(group, clock);
    CallDecider decider = new CallDecider(options(settings), seed);
    if (settings.peers().isEmpty()) {
      this.sharing = Optional.empty();
    } else {
      this.sharing =
          Optional.of(
              new LoadSharing(
                  group.next(), group, decider, clock, settings.name(), settings.peers(), metrics));
    }
    this.duty =
        new CallDuty(
            group.next(), client, decider, headers, clock, sharing, views::refresh, metrics);
    metrics.register("calls.open", (Gauge<Integer>) duty::size);
    ProcessGauges.register(metrics);
  }

  @Override
  public void start() {
    EventLoop loop = group.next();
    client.start();
    sharing.ifPresent(LoadSharing::start);
    loop.execute(duty::start);
    Listening.open(group, settings.callers(), this::initCaller);
    Listening.open(
        group, settings.readiness(), c -> c.pipeline().addLast(new HttpServerCodec(), ready()));
    new StatusServer(group, settings.operators(), metrics).start();
    loop.execute(() -> views.open(loop, client, clock, duty));
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
    long began = clock.getAsLong();
    ask(
        () -> {
          duty.leave();
          return 0;
        });
    LOG.info("stop begins open={}", ask(duty::size));
    boolean refusing = false;
    while (true) {
      long spent = clock.getAsLong() - began;
      int open = ask(duty::size);
      if (spent >= settings.stopMillis() - MARGIN_MILLIS
          || spent >= OUT_OF_ROTATION_MILLIS && open == 0) {
        LOG.info("stop ends open={} ms={}", open, spent);
        return open == 0;
      }
      if (!refusing && spent >= Math.min(TAKING_MILLIS, settings.stopMillis() - finishMillis())) {
        refusing = true;
        ask(
            () -> {
              duty.refuseNew();
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
  private long finishMillis() {
    return Math.min(FINISH_MILLIS, settings.stopMillis() / 2);
  }

  private static CallOptions options(DirectSettings s) {
    return new CallOptions(
        s.name(),
        s.domain(),
        s.region(),
        s.keyAgeMillis() - MARGIN_MILLIS,
        s.configMillis() + MARGIN_MILLIS,
        s.versionMillis() > 0 ? s.versionMillis() - VERSION_MARGIN_MILLIS : Long.MAX_VALUE / 4,
        s.versionMillis() > 0 ? s.versionMillis() - FINAL_MARGIN_MILLIS : Long.MAX_VALUE / 4,
        s.retryRatio() * RETRY_SHARE,
        s.retryAllowance() * RETRY_SHARE,
        s.retryWindowMillis(),
        s.coldOverrun(),
        s.coldAllowance());
  }

  private void initCaller(Channel c) {
    c.pipeline()
        .addLast(new HttpServerCodec(MAX_INITIAL_LINE, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
        .addLast(new CallerConnection(duty));
  }

  private ChannelHandler ready() {
    return new StatusPage(() -> duty.isReady() ? "" : null);
  }

  private <T> T ask(Callable<T> question) {
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
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
