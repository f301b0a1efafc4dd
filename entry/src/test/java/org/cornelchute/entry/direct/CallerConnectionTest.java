package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** A connection that the entry closes says so in the log, since its caller sees only the close. */
class CallerConnectionTest {

  private static final String REQUEST = "GET /s/ HTTP/1.1\r\nHost: h\r\nx-id: a\r\n\r\n";

  private final ListAppender<ILoggingEvent> logAppender = new ListAppender<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(CallerConnection.class);

  @BeforeEach
  void start() {
    logAppender.start();
    logger.addAppender(logAppender);
  }

  @AfterEach
  void stop() {
    logger.detachAppender(logAppender);
  }

  /** Guards against calls that an internal failure ends and that look as if callers had left. */
  @Test
  void logsInternalFailure() {
    EmbeddedChannel channel =
        new EmbeddedChannel(new HttpServerCodec(), new CallerConnection(new FailingListener()));
    channel.writeInbound(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII));
    assertThat(channel.isOpen()).isFalse();
    assertThat(logAppender.list)
        .anyMatch(e -> e.getFormattedMessage().contains("internal failure"));
  }

  /** A reset by the caller is no failure of the entry. */
  @Test
  void doesNotLogResets() {
    EmbeddedChannel channel =
        new EmbeddedChannel(new HttpServerCodec(), new CallerConnection(new FailingListener()));
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    assertThat(logAppender.list).isEmpty();
  }

  private static final class FailingListener implements CallerConnection.Listener {

    @Override
    public long currentMillis() {
      return 0;
    }

    @Override
    public int maxBodyBytes() {
      return 1_000;
    }

    @Override
    public boolean allowsKeepAlive() {
      return true;
    }

    @Override
    public void onConnectionOpened(CallerConnection connection) {}

    @Override
    public void onConnectionClosed(CallerConnection connection) {}

    @Override
    public void onRequest(CallerConnection connection, FullHttpRequest request) {
      request.release();
      throw new IllegalStateException("for the test");
    }

    @Override
    public void onRequestRead() {}

    @Override
    public void onDisconnect(OpenCall call, String closeReason) {}

    @Override
    public void onRequestDropped(HttpHeaders headers, String closeReason) {}

    @Override
    public void onWritabilityChanged(OpenCall call) {}

    @Override
    public void onRequestRejected(HttpHeaders headers, int status, boolean wasRead) {}
  }
}
