package org.cornelchute.net.wire;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** HTTP client with persistent connections; must be called on its event loop only. */
public final class WireClient {

  private static final long IDLE_EVICTION_MILLIS = 5_000;

  private final EventLoopGroup eventLoopGroup;
  private final LongSupplier clock;
  private final ServerFaults faults;
  private final Map<String, WirePool> poolByAddress = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param eventLoopGroup group of exactly one event loop, never null
   * @param clock steady clock in milliseconds
   * @param metrics registry of the meter of faulty responses
   */
  public WireClient(EventLoopGroup eventLoopGroup, LongSupplier clock, MetricRegistry metrics) {
    this.eventLoopGroup = eventLoopGroup;
    this.clock = clock;
    this.faults = new ServerFaults(clock, metrics);
  }

  /** Starts the periodic eviction of idle connections. */
  public void start() {
    eventLoopGroup
        .next()
        .scheduleWithFixedDelay(
            this::evictIdle, IDLE_EVICTION_MILLIS, IDLE_EVICTION_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request; may notify the listener of a failure before returning.
   *
   * <p>A request that closes its connection, and one that should name itself in a correlation
   * header and does not, is sent on a connection of its own, where no response to an earlier
   * request can be taken for its own.
   */
  public WireExchange send(WireRequest request, WireListener listener) {
    WireExchange exchange = new WireExchange(request, listener);
    WirePool pool = poolByAddress.computeIfAbsent(request.address(), a -> new WirePool(clock));
    boolean shared = exchange.isCorrelated() && HttpUtil.isKeepAlive(request.message());
    WireConnection idleConnection = shared ? pool.acquireIdle(request.maxIdleMillis()) : null;
    if (idleConnection != null) {
      idleConnection.send(exchange);
    } else if (pool.openCount() >= request.maxConnections() && !pool.closeOldestIdle()) {
      exchange.fail("connection limit for the address reached");
    } else {
      connect(pool, exchange);
    }
    return exchange;
  }

  private void evictIdle() {
    poolByAddress.values().forEach(p -> p.evictIdle(IDLE_EVICTION_MILLIS));
    poolByAddress.values().removeIf(WirePool::isEmpty);
  }

  private void connect(WirePool pool, WireExchange exchange) {
    String address = exchange.request.address();
    int colon = address.lastIndexOf(':');
    WireConnection connection = new WireConnection(pool, faults, address);
    pool.onConnecting();
    long startedAt = clock.getAsLong();
    int timeoutMillis = exchange.request.connectTimeoutMillis();
    new Bootstrap()
        .group(eventLoopGroup)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.decoder(), new RequestEncoder());
              }
            })
        .connect(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))))
        .addListener(
            (ChannelFuture future) -> {
              if (!future.isSuccess()) {
                pool.onConnectFailed();
                exchange.fail("connect failed: " + future.cause().getMessage());
                return;
              }
              future.channel().pipeline().addLast(connection);
              if (clock.getAsLong() - startedAt <= timeoutMillis) {
                sendUnlessEnded(pool, connection, exchange);
                return;
              }
              // The event loop was blocked. Timers that fell due meanwhile run first, since they
              // may cancel the request.
              future
                  .channel()
                  .eventLoop()
                  .schedule(
                      () -> sendUnlessEnded(pool, connection, exchange), 0, TimeUnit.MILLISECONDS);
            });
  }

  private static void sendUnlessEnded(
      WirePool pool, WireConnection connection, WireExchange exchange) {
    if (!connection.isOpen()) {
      exchange.fail("connection closed before the request was sent");
    } else if (exchange.isEnded()) {
      pool.release(connection);
    } else {
      connection.send(exchange);
    }
  }
}
