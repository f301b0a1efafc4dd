package org.cornelchute.net.control;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.util.FreePort;
import org.cornelchute.policy.rules.Rules;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.slf4j.LoggerFactory;

/**
 * A control plane over real sockets, with an HTTP server of this class as table service, and the
 * warnings and errors of the whole process while a test runs.
 */
abstract class ControlPlaneFixture {

  static final String RULES = "weight a 1 # asked: b\n";

  /** Upper bound of the warnings and errors that a row causes while a test runs. */
  static final int MAX_LOG_LINES = 20;

  static final long WAIT_SECONDS = 20;

  final Map<String, String> bodyByPath = new ConcurrentHashMap<>();
  final List<String> fatalErrors = new CopyOnWriteArrayList<>();
  final List<String> logLines = new CopyOnWriteArrayList<>();
  ControlPlane controlPlane;
  int port;

  private final Map<String, Integer> readsByPath = new ConcurrentHashMap<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
  private final AppenderBase<ILoggingEvent> appender =
      new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
          if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
            logLines.add(event.getFormattedMessage());
          }
        }
      };
  private HttpServer tableService;

  @BeforeEach
  void startTableService() throws IOException {
    appender.start();
    logger.addAppender(appender);
    tableService =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
    tableService.createContext("/", this::respond);
    tableService.start();
    bodyByPath.put("/vms", "[]");
  }

  @AfterEach
  void stop() {
    controlPlane.close();
    tableService.stop(0);
    logger.detachAppender(appender);
  }

  void start() throws IOException {
    port = FreePort.find("127.0.0.1");
    String address = "127.0.0.1:" + port;
    Member self =
        new Member("m1", Role.ENTRY, address, "r-1", "d-1", "", 1, 1, false, Generation.NONE, "");
    String url = "http://127.0.0.1:" + tableService.getAddress().getPort();
    controlPlane =
        new ControlPlane(
            new ControlSettings("m1", "127.0.0.1", port, port, "r-1", "d-1", url, List.of()),
            self,
            new TableClient(url),
            new MessageCodec(),
            new IgnoringListener(),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            1,
            new MetricRegistry(),
            (name, error) -> fatalErrors.add(name + " " + error));
    controlPlane.start();
  }

  static ConfigurationRecord record(long version) {
    return new ConfigurationRecord(version, "operator", 17, "proposal", "digest", RULES);
  }

  void putRules(long version) throws IOException {
    putRow(ConfigurationRecord.key(version), record(version).toJson());
    putRow(ConfigurationRecord.HEAD_KEY, Long.toString(version));
  }

  void putRow(String key, String value) throws IOException {
    Map<String, Object> row = Map.of("value", value, "version", 1);
    bodyByPath.put("/table/" + key, new ObjectMapper().writeValueAsString(row));
  }

  /** Waits until a row was read twice more. */
  void awaitReads(String key) throws InterruptedException {
    String path = "/table/" + key;
    int before = readsByPath.getOrDefault(path, 0);
    await("reads of " + key, () -> readsByPath.getOrDefault(path, 0) >= before + 2);
  }

  void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as(what + " " + fatalErrors + logLines).isLessThan(end);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private void respond(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    readsByPath.merge(path, 1, Integer::sum);
    String body = bodyByPath.get(path);
    byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(body == null ? 404 : 200, bytes.length);
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
