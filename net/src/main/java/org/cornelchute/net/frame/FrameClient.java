package org.cornelchute.net.frame;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.util.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpClient;

/**
 * Sends messages to other processes over TCP, on one connection per address that is opened when
 * first needed.
 *
 * <p>A message that was certainly not sent is passed to {@link Listener#onUndelivered}. If a
 * connection ends, the messages written to it may or may not have arrived; {@link
 * Listener#onDisconnect} reports this.
 */
public final class FrameClient implements Service {

  private static final Logger LOG = LoggerFactory.getLogger(FrameClient.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_PENDING_MESSAGES = 4_096;

  private final String memberId;
  private final MessageCodec codec;
  private final Listener listener;
  private final Map<String, Link> links = new HashMap<>();
  private boolean closed;

  /**
   * Creates a client.
   *
   * @param memberId member id sent to peers when a connection opens
   * @param codec encodes and decodes messages
   * @param listener receives answers and delivery failures
   */
  public FrameClient(String memberId, MessageCodec codec, Listener listener) {
    this.memberId = memberId;
    this.codec = codec;
    this.listener = listener;
  }

  /**
   * Sends a message and opens a connection if there is none. Does nothing after {@link #close}. A
   * message to an address that is invalid is undelivered.
   */
  public void send(String address, Message message) {
    if (!Addresses.isValid(address)) {
      listener.onUndelivered(address, message);
      return;
    }
    Channel channel = null;
    boolean queueFull = false;
    synchronized (this) {
      if (closed) {
        return;
      }
      Link link = links.get(address);
      if (link == null) {
        link = new Link();
        links.put(address, link);
        connect(address, link);
      }
      if (link.channel != null) {
        channel = link.channel;
      } else if (link.pendingMessages.size() < MAX_PENDING_MESSAGES) {
        link.pendingMessages.add(message);
      } else {
        queueFull = true;
      }
    }
    if (queueFull) {
      listener.onUndelivered(address, message);
    } else if (channel != null) {
      Framing.write(channel, codec.encode(message));
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    for (Link link : links.values()) {
      if (link.channel != null) {
        link.channel.close();
      }
    }
    links.clear();
  }

  private void connect(String address, Link link) {
    int colon = address.lastIndexOf(':');
    TcpClient.newConnection()
        .host(address.substring(0, colon))
        .port(Integer.parseInt(address.substring(colon + 1)))
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .doOnConnected(connection -> handleConnected(address, link, connection))
        .handle((in, out) -> Mono.never())
        .connect()
        .subscribe(connection -> {}, error -> handleConnectFailure(address, link));
  }

  private void handleConnected(String address, Link link, Connection connection) {
    Framing.install(connection);
    connection
        .inbound()
        .receive()
        .asByteArray()
        .subscribe(
            frame -> {
              Either<Failure, Message> decoded = codec.decode(frame);
              if (decoded.isLeft()) {
                LOG.warn("closing connection to {}: {}", address, decoded.getLeft().message());
                connection.dispose();
              } else {
                listener.onMessage(address, decoded.get());
              }
            },
            error -> connection.dispose());
    connection.onDispose(() -> handleDisconnect(address, link));
    Channel channel = connection.channel();
    synchronized (this) {
      Framing.write(channel, codec.encode(new ControlMessage.Hello(memberId)));
      for (Message message : link.pendingMessages) {
        Framing.write(channel, codec.encode(message));
      }
      link.pendingMessages.clear();
      link.channel = channel;
    }
  }

  private void handleConnectFailure(String address, Link link) {
    List<Message> undelivered;
    synchronized (this) {
      links.remove(address, link);
      undelivered = new ArrayList<>(link.pendingMessages);
      link.pendingMessages.clear();
    }
    for (Message message : undelivered) {
      listener.onUndelivered(address, message);
    }
  }

  private void handleDisconnect(String address, Link link) {
    synchronized (this) {
      links.remove(address, link);
    }
    listener.onDisconnect(address);
  }

  /**
   * Receives answers and delivery failures. Called on event loop threads and on threads that call
   * {@link #send}; implementations must not block.
   */
  public interface Listener {

    /** Called for each message received on a connection. */
    void onMessage(String address, Message message);

    /** Called when a connection ends. Messages written to it may or may not have arrived. */
    void onDisconnect(String address);

    /** Called for each message that was certainly not sent. */
    void onUndelivered(String address, Message message);
  }

  private static final class Link {
    private final List<Message> pendingMessages = new ArrayList<>();
    private Channel channel;
  }
}
