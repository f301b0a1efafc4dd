package org.cornelchute.net.frame;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.outcome.Failure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/** Accepts frame connections from other processes of the system and sends messages on them. */
public final class FrameServer implements Service {

  private static final Logger LOG = LoggerFactory.getLogger(FrameServer.class);

  private final String host;
  private final int port;
  private final MessageCodec codec;
  private final FrameListener listener;
  private final Meter brokenMeter;
  private final AtomicLong lastConnectionNumber = new AtomicLong();
  private final Map<Long, Channel> channels = new ConcurrentHashMap<>();
  private DisposableServer server;

  /** Creates a server that listens on {@code host:port} once started. */
  public FrameServer(
      String host, int port, MessageCodec codec, FrameListener listener, MetricRegistry metrics) {
    this.host = host;
    this.port = port;
    this.codec = codec;
    this.listener = listener;
    this.brokenMeter = metrics.meter("frames.broken");
  }

  @Override
  public void start() {
    server =
        TcpServer.create()
            .host(host)
            .port(port)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .doOnConnection(this::accept)
            .handle((in, out) -> Mono.never())
            .bindNow();
  }

  /** Sends a message on a connection. The message is dropped if the connection has ended. */
  public void send(long connection, Message message) {
    Channel channel = channels.get(connection);
    if (channel != null) {
      Framing.write(channel, codec.encode(message));
    }
  }

  /** Sends a message on every open connection. */
  public void broadcast(Message message) {
    byte[] frame = codec.encode(message);
    for (Channel channel : channels.values()) {
      Framing.write(channel, frame);
    }
  }

  @Override
  public void close() {
    if (server != null) {
      server.disposeNow();
    }
    channels.values().forEach(Channel::close);
  }

  private void accept(Connection connection) {
    long number = lastConnectionNumber.incrementAndGet();
    String[] peerId = {""};
    channels.put(number, connection.channel());
    connection.onDispose(
        () -> {
          channels.remove(number);
          listener.onConnectionClosed(number, peerId[0]);
        });
    Framing.install(connection);
    connection
        .inbound()
        .receive()
        .asByteArray()
        .subscribe(
            frame -> {
              Either<Failure, Message> decoded = codec.decode(frame);
              if (decoded.isLeft()) {
                closeBrokenConnection(connection, decoded.getLeft());
              } else if (decoded.get() instanceof ControlMessage.Hello hello) {
                peerId[0] = hello.from();
              } else {
                listener.onMessage(number, peerId[0], decoded.get());
              }
            },
            error ->
                closeBrokenConnection(
                    connection, Failure.invalid(String.valueOf(error.getMessage()))));
  }

  private void closeBrokenConnection(Connection connection, Failure failure) {
    brokenMeter.mark();
    LOG.warn("closing connection from {}: {}", connection.channel().remoteAddress(), failure);
    connection.dispose();
  }
}
