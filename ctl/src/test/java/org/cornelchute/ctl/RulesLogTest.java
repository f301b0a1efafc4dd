package org.cornelchute.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.net.platform.TableWrite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

class RulesLogTest {

  private static final String RULES = "weight a 1 # asked: b\n";
  private static final String OTHER_RULES = "weight a 2 # asked: c\n";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final SilentTable table = new SilentTable();
  @TempDir private Path directory;

  @AfterEach
  void stop() {
    table.server.disposeNow();
  }

  private int run(String... arguments) {
    List<String> command = new ArrayList<>(List.of(arguments));
    command.addAll(List.of("--platform", "http://127.0.0.1:" + table.server.port()));
    command.addAll(List.of("--member", "http://127.0.0.1:11"));
    return CtlProgram.run(
        new PrintStream(out), new PrintStream(err), command.toArray(String[]::new));
  }

  private int apply(String... options) throws IOException {
    Path file = directory.resolve("fleet.rules");
    Files.writeString(file, RULES);
    List<String> command = new ArrayList<>(List.of("apply", file.toString()));
    command.addAll(List.of(options));
    return run(command.toArray(String[]::new));
  }

  /** Guards against a command that fails because the first read got no answer. */
  @Test
  void repeatsReadThatGotNoAnswer() {
    table.put(ConfigurationRecord.HEAD_KEY, "1");
    table.put(ConfigurationRecord.key(1), record(RULES));
    table.unansweredReads = 1;
    assertThat(run("show")).isEqualTo(ExitCode.OK);
    assertThat(out.toString()).contains("weight a 1");
  }

  /**
   * Guards against a limit that the operator cannot set, and a read reported as outcome unknown.
   */
  @Test
  void reportsReadsWithoutAnswerAsFailureAfterTimeout() throws IOException {
    table.unansweredReads = Integer.MAX_VALUE;
    assertThat(apply("--timeout", "3")).isEqualTo(ExitCode.FAILED);
    assertThat(err.toString())
        .contains("no answer from the table service in")
        .contains("reads sent within")
        .contains(": 2");
    assertThat(table.commits).isZero();
  }

  /** Guards against an accepted change that is reported as unknown because its answer was lost. */
  @Test
  void findsAcceptedChangeWhoseAnswerWasLost() throws IOException {
    table.unansweredCommits = 1;
    assertThat(apply()).isEqualTo(ExitCode.OK);
    assertThat(out.toString()).contains("accepted as version 1");
    assertThat(table.commits).isEqualTo(1);
  }

  /** Guards against a change that is given up although the service never received it. */
  @Test
  void sendsChangeAgainThatWasLostBeforeItTookEffect() throws IOException {
    table.lostCommits = 1;
    assertThat(apply()).isEqualTo(ExitCode.OK);
    assertThat(out.toString()).contains("accepted as version 1");
    assertThat(table.commits).isEqualTo(1);
  }

  /** Guards against a change of another operator that is taken for this one's. */
  @Test
  void reportsConflictWhenAnotherChangeWasAcceptedWhileAnswerWasLost() throws IOException {
    table.lostCommits = 1;
    table.acceptedOnLostCommit = record(OTHER_RULES);
    assertThat(apply()).isEqualTo(ExitCode.CONFLICT);
    assertThat(err.toString()).contains("weight a 2");
  }

  /** Guards against a change reported as failed while it may still take effect. */
  @Test
  void reportsOutcomeUnknownWhenChangeGetsNoAnswerWithinTimeout() throws IOException {
    table.lostCommits = Integer.MAX_VALUE;
    assertThat(apply("--timeout", "3")).isEqualTo(ExitCode.UNKNOWN);
    assertThat(err.toString()).contains("may have been accepted").contains("--timeout");
  }

  /** Failure: the command ended with a stack trace because of a row of another writer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "x",
        "-1",
        "1.5",
        "9223372036854775808",
        "100000000000000000000",
        "[[[[",
        "{}"
      })
  void reportsAnOddHeadAndUsesTheNextOne(String odd) throws IOException {
    table.put(ConfigurationRecord.HEAD_KEY, odd);
    table.put(ConfigurationRecord.key(1), record(RULES));
    for (String command : List.of("show", "history")) {
      assertThat(run(command)).isEqualTo(ExitCode.USAGE);
    }
    assertThat(apply()).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("malformed row 'config-head'");
    assertThat(table.commits).isZero();
    table.put(ConfigurationRecord.HEAD_KEY, "1");
    assertThat(run("show")).isEqualTo(ExitCode.OK);
  }

  /** Failure: the command ended with a stack trace because of a row of another writer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "7",
        "[]",
        "{}",
        "{\"version\":1}",
        "{\"version\":1,\"text\":null}",
        "{\"version\":100000000000000000000}",
        "[[[[[[["
      })
  void reportsAnOddVersionAndUsesTheNextOne(String odd) throws IOException {
    table.put(ConfigurationRecord.HEAD_KEY, "1");
    table.put(ConfigurationRecord.key(1), odd);
    for (String command : List.of("show", "history")) {
      assertThat(run(command)).isEqualTo(ExitCode.USAGE);
    }
    assertThat(err.toString()).contains("malformed row in the rules log");
    assertThat(table.commits).isZero();
    table.put(ConfigurationRecord.key(1), record(RULES));
    assertThat(run("show")).isEqualTo(ExitCode.OK);
  }

  private static String record(String text) {
    return new ConfigurationRecord(1, "other", 0, "other-proposal", "digest", text).toJson();
  }

  /** Table service that gives no answer to some calls. */
  private static final class SilentTable {

    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, TableRow> rows = new TreeMap<>();
    private final DisposableServer server;
    private long lastVersion;

    /** Number of next reads without an answer. */
    private int unansweredReads;

    /** Number of next writes that take effect without an answer. */
    private int unansweredCommits;

    /** Number of next writes that have no effect and no answer. */
    private int lostCommits;

    /** Version 1 of the rules that is accepted when a write is lost, or null. */
    private String acceptedOnLostCommit;

    /** Number of writes that took effect. */
    private int commits;

    SilentTable() {
      server =
          HttpServer.create()
              .host("127.0.0.1")
              .route(r -> r.get("/table/{key}", this::read).post("/table", this::commit))
              .bindNow();
    }

    synchronized void put(String key, String value) {
      rows.put(key, new TableRow(value, ++lastVersion));
    }

    private synchronized Publisher<Void> read(
        HttpServerRequest request, HttpServerResponse response) {
      if (unansweredReads > 0) {
        unansweredReads--;
        return Mono.never();
      }
      TableRow row = rows.get(request.param("key"));
      return row == null ? response.status(404).send() : send(response, row);
    }

    private Publisher<Void> commit(HttpServerRequest request, HttpServerResponse response) {
      return request
          .receive()
          .aggregate()
          .asString()
          .flatMap(body -> Mono.from(commit(body, response)));
    }

    private synchronized Publisher<Void> commit(String body, HttpServerResponse response) {
      if (lostCommits > 0) {
        lostCommits--;
        if (acceptedOnLostCommit != null) {
          put(ConfigurationRecord.key(1), acceptedOnLostCommit);
          put(ConfigurationRecord.HEAD_KEY, "1");
        }
        return Mono.never();
      }
      List<TableWrite> writes = parse(body);
      for (TableWrite write : writes) {
        TableRow row = rows.get(write.key());
        if ((row == null ? 0 : row.version()) != write.version()) {
          return response.status(409).send();
        }
      }
      writes.forEach(write -> put(write.key(), write.value()));
      commits++;
      if (unansweredCommits > 0) {
        unansweredCommits--;
        return Mono.never();
      }
      return send(response, Map.of("versions", List.of(lastVersion - 1, lastVersion)));
    }

    private List<TableWrite> parse(String body) {
      try {
        List<TableWrite> writes = new ArrayList<>();
        for (JsonNode write : mapper.readTree(body).path("writes")) {
          writes.add(mapper.treeToValue(write, TableWrite.class));
        }
        return writes;
      } catch (JsonProcessingException e) {
        throw new IllegalArgumentException(body, e);
      }
    }

    private Publisher<Void> send(HttpServerResponse response, Object value) {
      try {
        return response.sendString(Mono.just(mapper.writeValueAsString(value)));
      } catch (JsonProcessingException e) {
        throw new IllegalArgumentException(e);
      }
    }
  }
}
