package org.cornelchute.net.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Sends requests over kept connections; every call must come from its event loop. */
public final class WireClient {

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;
  private static final long IDLE_EVICTION_MILLIS = 5_000;

  private final EventLoopGroup eventLoopGroup;
  private final LongSupplier clock;
  private final Map<String, WirePool> pools = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param loop the one event loop, never null
   * @param clock steady milliseconds
   */
  public WireClient(EventLoopGroup loop, LongSupplier clock) {
    this.eventLoopGroup = loop;
    this.clock = clock;
  }

  /** Starts to close connections that are no longer used. */
  public void start() {
    eventLoopGroup
        .next()
        .scheduleWithFixedDelay(
            this::evictIdle, IDLE_EVICTION_MILLIS, IDLE_EVICTION_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sends a request; its listener hears of the outcome, possibly before this returns. */
  public WireExchange send(WireRequest request, WireListener listener) {
    WireExchange exchange = new WireExchange(request, listener);
    WirePool pool = pools.computeIfAbsent(request.address(), a -> new WirePool(clock));
    WireConnection kept = pool.acquireIdle(request.maxIdleMillis());
    if (kept != null) {
      kept.send(exchange);
    } else if (pool.openCount() >= request.maxConnections()) {
      exchange.fail("connections to the address are used up");
    } else {
      connect(pool, exchange);
    }
    return exchange;
  }

  private void evictIdle() {
    pools.values().forEach(p -> p.evictIdle(IDLE_EVICTION_MILLIS));
    pools.values().removeIf(WirePool::isEmpty);
  }

  private void connect(WirePool pool, WireExchange exchange) {
    String address = exchange.request.address();
    int colon = address.lastIndexOf(':');
    WireConnection connection = new WireConnection(pool);
    pool.onConnecting();
    new Bootstrap()
        .group(eventLoopGroup)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, exchange.request.connectTimeoutMillis())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel c) {
                c.pipeline()
                    .addLast(
                        new HttpClientCodec(
                            MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
              }
            })
        .connect(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))))
        .addListener(
            (ChannelFuture f) -> {
              if (!f.isSuccess()) {
                pool.onConnectFailed();
                exchange.fail("no connection: " + f.cause().getMessage());
                return;
              }
              f.channel().pipeline().addLast(connection);
              if (exchange.isEnded()) {
                pool.idle(connection);
              } else {
                connection.send(exchange);
              }
            });
  }
}
