package org.cornelchute.net.control;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.codahale.metrics.MetricRegistry;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.util.FreePort;
import org.cornelchute.policy.rules.Rules;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests a control plane over real sockets, with an HTTP server of this test as table service. */
class ControlPlaneTest {

  private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(ControlPlane.class);
  private final AppenderBase<ILoggingEvent> appender =
      new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
          logLines.add(event.getLevel() + " " + event.getFormattedMessage());
        }
      };
  private HttpServer tableService;
  private ControlPlane controlPlane;

  @BeforeEach
  void start() throws IOException {
    appender.start();
    logger.addAppender(appender);
    tableService =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
    tableService.createContext("/vms", exchange -> respond(exchange, "[]"));
    tableService.createContext(
        "/table/config-head", exchange -> respond(exchange, "{\"value\":\"1\",\"version\":1}"));
    tableService.createContext(
        "/table/config-1", exchange -> respond(exchange, "{\"value\":\"no rules\",\"version\":1}"));
    tableService.start();
    int port = FreePort.find("127.0.0.1");
    Member self =
        new Member(
            "m1",
            Role.ENTRY,
            "127.0.0.1:" + port,
            "region-1",
            "domain-1",
            "",
            1,
            1,
            false,
            Generation.NONE,
            "");
    controlPlane =
        new ControlPlane(
            ControlSettings.defaults("m1", port),
            self,
            new TableClient("http://127.0.0.1:" + tableService.getAddress().getPort()),
            new MessageCodec(),
            new IgnoringListener(),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            1,
            new MetricRegistry(),
            (name, error) -> logLines.add("fatal " + error));
    controlPlane.start();
  }

  @AfterEach
  void stop() {
    controlPlane.close();
    tableService.stop(0);
    logger.detachAppender(appender);
  }

  /** Guards against a version of the rules that never comes into force without a log line. */
  @Test
  void logsRulesRowsThatCannotBeParsed() throws Exception {
    String line = logLines.poll(10, TimeUnit.SECONDS);
    assertThat(line).isNotNull().startsWith("WARN").contains("malformed row in the rules log");
    assertThat(controlPlane.rulesText().version()).isZero();
  }

  // Failure: an entry and an agent that never met each other said nothing of it.
  @Test
  void logsThatNoOtherMemberWasFound() throws Exception {
    String line = "";
    for (int i = 0; i < 40 && line != null && !line.contains("no other member"); i++) {
      line = logLines.poll(10, TimeUnit.SECONDS);
    }
    assertThat(line).startsWith("WARN no other member found yet").contains("127.0.0.1:4200");
  }

  private static void respond(HttpExchange exchange, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static final class IgnoringListener implements ControlListener {

    @Override
    public void onMemberChange(Member member, Health health) {}

    @Override
    public void onRulesAdopted(Rules rules) {}

    @Override
    public void onViewRefresh(Collection<Member> members, Set<String> unreachableRegions) {}
  }
}
