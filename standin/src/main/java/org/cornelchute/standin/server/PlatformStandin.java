package org.cornelchute.standin.server;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.net.platform.TableWrite;
import org.cornelchute.policy.util.TokenBucket;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Stand-in for the platform: a table service with transactional writes, and a list of VMs. */
public final class PlatformStandin extends HttpStandin<PlatformStandin.Faults> {

  private static final double READS_PER_SECOND = 2_000;
  private static final double WRITES_PER_SECOND = 300;

  private final Map<String, TableRow> rows = new TreeMap<>();
  private final TokenBucket readLimit = new TokenBucket(READS_PER_SECOND, READS_PER_SECOND, now());
  private final TokenBucket writeLimit =
      new TokenBucket(WRITES_PER_SECOND, WRITES_PER_SECOND, now());
  private List<Map<String, String>> vms = List.of();
  private long lastVersion;
  private long readCount;
  private long writeCount;

  /** Starts the server on the loopback interface. */
  public PlatformStandin(int port) {
    super(new Faults(false, 0, 0), Faults.class);
    listen(
        port,
        r ->
            r.get("/table/{key}", this::readRow)
                .post("/table", this::commit)
                .get("/vms", (q, s) -> applyFaults(s, () -> Json.send(s, 200, vms)))
                .post("/vms", this::setVms)
                .get("/stats", (q, s) -> Json.send(s, 200, stats())));
  }

  private Publisher<Void> readRow(HttpServerRequest request, HttpServerResponse response) {
    return applyFaults(
        response,
        () -> {
          TableRow row;
          synchronized (this) {
            if (!readLimit.tryTake(1, now())) {
              return Json.send(response, 429, Map.of("error", "read rate limit exceeded"));
            }
            readCount++;
            row = rows.get(request.param("key"));
          }
          return row == null
              ? Json.send(response, 404, Map.of("error", "row not found"))
              : Json.send(response, 200, row);
        });
  }

  private Publisher<Void> commit(HttpServerRequest request, HttpServerResponse response) {
    return applyFaults(
        response,
        () ->
            Json.read(request, JsonNode.class)
                .flatMap(body -> commit(response, body.path("writes"))));
  }

  private synchronized Mono<Void> commit(HttpServerResponse response, JsonNode writes) {
    if (!writeLimit.tryTake(1, now())) {
      return Json.send(response, 429, Map.of("error", "write rate limit exceeded"));
    }
    List<TableWrite> requestedWrites = new ArrayList<>();
    for (JsonNode node : writes) {
      requestedWrites.add(Json.MAPPER.convertValue(node, TableWrite.class));
    }
    for (TableWrite write : requestedWrites) {
      TableRow row = rows.get(write.key());
      if ((row == null ? 0 : row.version()) != write.version()) {
        return Json.send(response, 409, Map.of("key", write.key()));
      }
    }
    List<Long> newVersions = new ArrayList<>();
    for (TableWrite write : requestedWrites) {
      rows.put(write.key(), new TableRow(write.value(), ++lastVersion));
      newVersions.add(lastVersion);
    }
    writeCount++;
    if (faults().loseAnswers > 0) {
      // Closes the connection after the commit, so that the writer does not learn the outcome.
      changeFaults(new Faults(faults().outage, faults().latencyMillis, faults().loseAnswers - 1));
      return Mono.error(new IllegalStateException("injected fault: response lost"));
    }
    return Json.send(response, 200, Map.of("versions", newVersions));
  }

  private Publisher<Void> setVms(HttpServerRequest request, HttpServerResponse response) {
    return Json.read(request, JsonNode.class)
        .flatMap(
            body -> {
              List<Map<String, String>> addresses = new ArrayList<>();
              body.forEach(address -> addresses.add(Map.of("address", address.asText())));
              vms = addresses;
              return Json.send(response, 200, vms);
            });
  }

  private Mono<Void> applyFaults(HttpServerResponse response, Supplier<Mono<Void>> handler) {
    if (faults().outage) {
      return Json.send(response, 503, Map.of("error", "injected fault: platform unavailable"));
    }
    if (faults().latencyMillis > 0) {
      return Mono.delay(Duration.ofMillis(faults().latencyMillis)).then(Mono.defer(handler));
    }
    return handler.get();
  }

  private synchronized Map<String, Long> stats() {
    return Map.of("reads", readCount, "writes", writeCount, "rows", (long) rows.size());
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /**
   * Injected faults, which can be changed at run time.
   *
   * @param outage whether every call is refused
   * @param latencyMillis delay added to every call
   * @param loseAnswers number of next writes that are committed without a response
   */
  public record Faults(boolean outage, long latencyMillis, int loseAnswers) {}
}
