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
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.Message;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/**
 * One odd row of another writer must not end the process, hide the rows beside it, or keep the
 * control plane from following later changes.
 */
@Timeout(60)
class ControlPlaneOddRowsTest {

  private static final String RULES = "weight a 1 # asked: b\n";
  private static final List<String> ODD_ADDRESSES =
      List.of(
          "",
          "x",
          "127.0.0.1:",
          "127.0.0.1:0",
          "127.0.0.1:-1",
          "127.0.0.1:65536",
          "127.0.0.1:100000000000000000000",
          "300.0.0.1:80",
          "no host:80");

  private static final long WAIT_SECONDS = 20;

  /** Upper bound of the warnings and errors that a row causes while a test runs. */
  private static final int MAX_LOG_LINES = 20;

  private final Map<String, String> bodyByPath = new ConcurrentHashMap<>();
  private final Map<String, Integer> readsByPath = new ConcurrentHashMap<>();
  private final List<String> fatalErrors = new CopyOnWriteArrayList<>();
  private final List<String> logLines = new CopyOnWriteArrayList<>();
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
  private ControlPlane controlPlane;
  private int port;

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

  /** Failure: one VM that was nested deeply or held a long number hid all others of the list. */
  @Test
  void contactsTheOthersOfListWithOddRows() throws Exception {
    String odd = String.join(",", oddVms());
    try (ServerSocket good = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
      String goodRow = "{\"address\":\"127.0.0.1:" + good.getLocalPort() + "\"}";
      bodyByPath.put("/vms", "[" + String.join(",", odd, goodRow, odd) + "]");
      start();
      good.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
      good.accept().close();
      assertThat(fatalErrors).isEmpty();
      assertThat(logLines).hasSizeLessThan(MAX_LOG_LINES);
      assertThat(logLines).allMatch(line -> line.length() < 1_000);
    }
  }

  private static List<String> oddVms() {
    return List.of(
        "{\"address\":\"127.0.0.1:65536\"}",
        "{\"address\":\"127.0.0.1:99999\"}",
        "{\"address\":\"127.0.0.1:0\"}",
        "{\"address\":\"127.0.0.1:-1\"}",
        "{\"address\":\"127.0.0.1:100000000000000000000\"}",
        "{\"address\":\"300.0.0.1:80\"}",
        "{\"address\":\"...:80\"}",
        "{\"address\":\"1.2.3:80\"}",
        "{\"address\":\":80\"}",
        "{\"address\":\"no host:80\"}",
        "{\"address\":\"10.0.0.1:80\\u0000\"}",
        "{\"address\":7}",
        "{\"address\":null}",
        "{\"address\":[\"10.0.0.1:80\"]}",
        "{\"address\":1e999999999}",
        "{\"address\":" + "9".repeat(100_000) + "}",
        "{\"address\":" + "[".repeat(50_000) + "]".repeat(50_000) + "}",
        "{\"a\":{\"address\":\"127.0.0.1:65536\"}}",
        "{}",
        "[]",
        "null",
        "7",
        "\"127.0.0.1:99999\"",
        "[".repeat(2_000) + "]".repeat(2_000));
  }

  /**
   * Failure: a version number that was no number, or too large, kept the process from every later
   * version of the rules.
   */
  @ParameterizedTest
  @ValueSource(strings = {"x", "999999999999999999", "100000000000000000000"})
  void followsTheRulesAfterAnOddHead(String odd) throws Exception {
    putRow(ConfigurationRecord.HEAD_KEY, odd);
    start();
    awaitReads(ConfigurationRecord.HEAD_KEY);
    putRules(1);
    await("version 1", () -> controlPlane.rulesText().version() == 1);
    putRow(ConfigurationRecord.HEAD_KEY, odd);
    awaitReads(ConfigurationRecord.HEAD_KEY);
    putRules(2);
    await("version 2", () -> controlPlane.rulesText().version() == 2);
    assertThat(fatalErrors).isEmpty();
    assertThat(logLines).hasSizeLessThan(MAX_LOG_LINES);
  }

  /** Failure: a version of the rules without its text ended each process that read it. */
  @Test
  void followsTheRulesAfterOddVersions() throws Exception {
    putRow(ConfigurationRecord.HEAD_KEY, "1");
    start();
    for (String odd : oddRecords()) {
      putRow(ConfigurationRecord.key(1), odd);
      awaitReads(ConfigurationRecord.key(1));
      assertThat(controlPlane.rulesText().version()).as(odd).isZero();
    }
    putRules(1);
    await("version 1", () -> controlPlane.rulesText().version() == 1);
    putRules(2);
    await("version 2", () -> controlPlane.rulesText().version() == 2);
    assertThat(controlPlane.rulesText().text()).isEqualTo(RULES);
    assertThat(fatalErrors).isEmpty();
    assertThat(logLines).hasSizeLessThan(MAX_LOG_LINES);
    assertThat(logLines).allMatch(line -> line.length() < 1_000);
  }

  private static List<String> oddRecords() {
    String good = record(1).toJson();
    return List.of(
        "null",
        "{}",
        "{\"version\":1,\"text\":null,\"digest\":null}",
        good.replace("\"version\":1", "\"version\":100000000000000000000"),
        good.replace("\"version\":1", "\"version\":9223372036854775807"),
        good.replace("\"digest\":\"digest\"", "\"digest\":null"),
        good.replaceFirst("\"text\":\".*\"", "\"text\":7"),
        good.replaceFirst(
            "\"author\"", "\"a\":" + "[".repeat(400) + "]".repeat(400) + ",\"author\""),
        "[".repeat(50_000),
        "9".repeat(100_000));
  }

  /** Failure: an address in a message that no connection can be opened to ended the process. */
  @Test
  void livesOnAfterMessagesWithOddAddresses() throws Exception {
    start();
    awaitReads(ConfigurationRecord.HEAD_KEY);
    try (DatagramSocket socket = new DatagramSocket()) {
      for (String odd : ODD_ADDRESSES) {
        Member member =
            new Member("m" + odd, Role.AGENT, odd, "r", "d", "", 1, 1, false, Generation.NONE, "");
        ControlMessage.MembershipUpdate update =
            new ControlMessage.MembershipUpdate(member, Health.ALIVE);
        send(socket, new ControlMessage.PingRequest(1, "m3", odd, List.of()));
        send(socket, new ControlMessage.Ping(1, "m3", 0, List.of(update)));
      }
    }
    await("members", () -> controlPlane.memberSnapshot().size() == ODD_ADDRESSES.size() + 1);
    // The new members are probed one after the other.
    awaitReads(ConfigurationRecord.HEAD_KEY);
    putRules(1);
    await("version 1", () -> controlPlane.rulesText().version() == 1);
    assertThat(fatalErrors).isEmpty();
  }

  private void send(DatagramSocket socket, Message message) throws IOException {
    byte[] bytes = new MessageCodec().encode(message);
    socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
  }

  private void start() throws IOException {
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

  private static ConfigurationRecord record(long version) {
    return new ConfigurationRecord(version, "operator", 17, "proposal", "digest", RULES);
  }

  private void putRules(long version) throws IOException {
    putRow(ConfigurationRecord.key(version), record(version).toJson());
    putRow(ConfigurationRecord.HEAD_KEY, Long.toString(version));
  }

  private void putRow(String key, String value) throws IOException {
    Map<String, Object> row = Map.of("value", value, "version", 1);
    bodyByPath.put("/table/" + key, new ObjectMapper().writeValueAsString(row));
  }

  /** Waits until a row was read twice more. */
  private void awaitReads(String key) throws InterruptedException {
    String path = "/table/" + key;
    int before = readsByPath.getOrDefault(path, 0);
    await("reads of " + key, () -> readsByPath.getOrDefault(path, 0) >= before + 2);
  }

  private void await(String what, BooleanSupplier condition) throws InterruptedException {
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
