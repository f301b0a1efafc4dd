package org.cornelchute.net.frame;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.DatagramPacket;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.util.Addresses;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.udp.UdpResources;
import reactor.netty.udp.UdpServer;

/**
 * Sends and receives messages over UDP, one message per datagram.
 *
 * <p>Probes use datagrams because each goes to a different member: opening a connection would take
 * more packets than the probe itself.
 */
public final class DatagramTransport implements Service {

  private final String host;
  private final int port;
  private final LoopResources eventLoops;
  private final MessageCodec codec;
  private final Listener listener;
  private final Meter receivedBytesMeter;
  private final Meter sentBytesMeter;
  private final Meter brokenMeter;
  private final Meter unsentMeter;
  private Connection connection;

  /**
   * Creates a transport on {@code host:port} that uses the default UDP event loops of Reactor
   * Netty.
   */
  public DatagramTransport(
      String host, int port, MessageCodec codec, Listener listener, MetricRegistry metrics) {
    this(host, port, UdpResources.get(), codec, listener, metrics);
  }

  /** Creates a transport on {@code host:port} that uses the event loops of the caller. */
  public DatagramTransport(
      String host,
      int port,
      LoopResources eventLoops,
      MessageCodec codec,
      Listener listener,
      MetricRegistry metrics) {
    this.host = host;
    this.port = port;
    this.eventLoops = eventLoops;
    this.codec = codec;
    this.listener = listener;
    this.receivedBytesMeter = metrics.meter("datagrams.received.bytes");
    this.sentBytesMeter = metrics.meter("datagrams.sent.bytes");
    this.brokenMeter = metrics.meter("datagrams.broken");
    this.unsentMeter = metrics.meter("datagrams.unsent");
  }

  @Override
  public void start() {
    connection =
        UdpServer.create()
            .host(host)
            .port(port)
            .runOn(eventLoops, false)
            .handle(
                (in, out) ->
                    in.receiveObject()
                        .ofType(DatagramPacket.class)
                        .doOnNext(this::handle)
                        .then(Mono.never()))
            .bindNow();
  }

  /** Sends a message. Delivery is not guaranteed; an address that is invalid is ignored. */
  public void send(String address, Message message) {
    if (!Addresses.isValid(address)) {
      unsentMeter.mark();
      return;
    }
    byte[] bytes = codec.encode(message);
    int colon = address.lastIndexOf(':');
    InetSocketAddress recipient =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    sentBytesMeter.mark(bytes.length);
    connection
        .channel()
        .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), recipient));
  }

  @Override
  public void close() {
    if (connection != null) {
      connection.disposeNow();
    }
  }

  private void handle(DatagramPacket packet) {
    byte[] bytes = new byte[packet.content().readableBytes()];
    packet.content().readBytes(bytes);
    receivedBytesMeter.mark(bytes.length);
    Either<Failure, Message> decoded = codec.decode(bytes);
    if (decoded.isLeft()) {
      brokenMeter.mark();
      return;
    }
    InetSocketAddress sender = packet.sender();
    listener.onMessage(
        sender.getAddress().getHostAddress() + ":" + sender.getPort(), decoded.get());
  }

  /** Receives messages. Called on an event loop thread; implementations must not block. */
  @FunctionalInterface
  public interface Listener {

    /** Called for each message with the address of its sender, {@code host:port}. */
    void onMessage(String address, Message message);
  }
}
