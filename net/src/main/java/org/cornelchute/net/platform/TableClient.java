package org.cornelchute.net.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.timeout.ReadTimeoutException;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.cornelchute.core.log.LogLimiter;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.http.CheckedClientCodec;
import org.cornelchute.net.util.Addresses;
import org.cornelchute.net.util.ResponseBodies;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Client of the platform's table service and VM list.
 *
 * <p>Failures are returned as values. A failure is {@code UNAVAILABLE} only if the request
 * certainly had no effect: no connection could be opened, or the service answered with an error
 * status. If the answer is lost, the failure is {@code UNKNOWN}, and reading the row shows the
 * outcome.
 *
 * <p>Each write has a connection of its own, so that no answer that is sent twice is taken for the
 * confirmation of a write, and is sent once.
 */
public final class TableClient {

  private static final Logger LOG = LoggerFactory.getLogger(TableClient.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_WRITE_CONNECTIONS = 256;
  private static final int MAX_LOGGED_CHARS = 64;

  /** Maximum size of an answer; the longest is the list of all VMs. */
  private static final long MAX_ANSWER_BYTES = 16_777_216;

  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;

  /**
   * Reads lists whose elements are skipped without being kept, so that an element may be nested
   * deeply or hold a long number.
   */
  private static final JsonFactory LIST_READER =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(Integer.MAX_VALUE)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .build())
          .build();

  private final LogLimiter logLimiter = new LogLimiter();
  private final HttpClient http;
  private final HttpClient writeClient;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the service at {@code http://host:port}. */
  public TableClient(String baseUrl) {
    this.http =
        CheckedClientCodec.applyTo(HttpClient.create()).baseUrl(baseUrl).responseTimeout(TIMEOUT);
    ConnectionProvider singleUse =
        ConnectionProvider.builder("table-writes")
            .maxConnections(MAX_WRITE_CONNECTIONS)
            .evictionPredicate((connection, use) -> true)
            .build();
    this.writeClient =
        CheckedClientCodec.applyTo(HttpClient.create(singleUse))
            .baseUrl(baseUrl)
            .responseTimeout(TIMEOUT)
            .keepAlive(false)
            .disableRetry(true);
  }

  /** Reads a row; the result is empty if it does not exist. */
  public Mono<Either<Failure, Optional<TableRow>>> read(String key) {
    return http.get()
        .uri("/table/" + key)
        .response(
            (response, body) ->
                ResponseBodies.text(body, MAX_ANSWER_BYTES)
                    .map(text -> parseRow(response.status().code(), text)))
        .single()
        .timeout(TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))));
  }

  /** Writes one row by compare-and-set; returns its new version. */
  public Mono<Either<Failure, Long>> write(TableWrite write) {
    return commit(List.of(write)).map(r -> r.map(versions -> versions.get(0)));
  }

  /**
   * Writes rows by compare-and-set in one transaction; returns their new versions in the same
   * order.
   */
  public Mono<Either<Failure, List<Long>>> commit(List<TableWrite> writes) {
    byte[] request;
    try {
      request = mapper.writeValueAsBytes(Map.of("writes", writes));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("writes cannot be encoded", e);
    }
    return writeClient
        .headers(h -> h.set("Content-Type", "application/json"))
        .post()
        .uri("/table")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(request)))
        .response(
            (response, body) ->
                ResponseBodies.text(body, MAX_ANSWER_BYTES)
                    .map(text -> parseCommit(response.status().code(), text, writes.size())))
        .single()
        .timeout(TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))));
  }

  /**
   * Reads the addresses of the processes on the platform's VMs. Malformed addresses are skipped.
   */
  public Mono<Either<Failure, List<String>>> listAddresses() {
    return http.get()
        .uri("/vms")
        .response(
            (response, body) ->
                ResponseBodies.text(body, MAX_ANSWER_BYTES)
                    .map(text -> parseAddresses(response.status().code(), text)))
        .single()
        .timeout(TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))));
  }

  private Either<Failure, Optional<TableRow>> parseRow(int status, String text) {
    if (status == STATUS_NOT_FOUND) {
      return Either.right(Optional.empty());
    }
    if (status != STATUS_OK) {
      return Either.left(Failure.unavailable("table service answered status " + status));
    }
    try {
      JsonNode row = mapper.readTree(text);
      return Either.right(
          Optional.of(new TableRow(row.path("value").asText(), row.path("version").asLong())));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.unknown("answer of the table service is not JSON"));
    }
  }

  private Either<Failure, List<Long>> parseCommit(int status, String text, int writeCount) {
    if (status == STATUS_CONFLICT) {
      return Either.left(
          new Failure(Failure.Code.CONFLICT, "compare-and-set failed: another writer was first"));
    }
    if (status != STATUS_OK) {
      return Either.left(Failure.unavailable("table service answered status " + status));
    }
    try {
      List<Long> versions = new ArrayList<>();
      mapper.readTree(text).path("versions").forEach(v -> versions.add(v.asLong()));
      return versions.size() == writeCount
          ? Either.right(versions)
          : Either.left(Failure.unknown("answer of the table service is not one to the writes"));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.unknown("answer of the table service is not JSON"));
    }
  }

  private Either<Failure, List<String>> parseAddresses(int status, String text) {
    if (status != STATUS_OK) {
      return Either.left(Failure.unavailable("VM list request answered with status " + status));
    }
    try (JsonParser parser = LIST_READER.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_ARRAY) {
        return Either.left(Failure.unknown("answer to the VM list request is not a JSON list"));
      }
      List<String> addresses = new ArrayList<>();
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        String address = readAddress(parser);
        if (Addresses.isValid(address)) {
          addresses.add(address);
        } else {
          logIgnoredAddress(address);
        }
      }
      return Either.right(addresses);
    } catch (IOException e) {
      return Either.left(Failure.unknown("answer to the VM list request is not JSON"));
    }
  }

  /**
   * Reads one element of the VM list up to its end.
   *
   * @return its address, empty if it has none
   */
  private static String readAddress(JsonParser parser) throws IOException {
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      parser.skipChildren();
      return "";
    }
    String address = "";
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      if (parser.nextToken() == JsonToken.VALUE_STRING && field.equals("address")) {
        address = parser.getText();
      }
      parser.skipChildren();
    }
    return address;
  }

  private void logIgnoredAddress(String address) {
    String start = address.substring(0, Math.min(MAX_LOGGED_CHARS, address.length()));
    logLimiter.log(
        suppressed ->
            LOG.warn(
                "VM without an IP address and a port ignored address=\"{}\" suppressed={}",
                start,
                suppressed));
  }

  private static Failure toFailure(Throwable error) {
    if (error instanceof ConnectException
        || error instanceof ConnectTimeoutException
        || error instanceof UnknownHostException) {
      return Failure.unavailable("table service cannot be reached");
    }
    if (error instanceof TimeoutException || error instanceof ReadTimeoutException) {
      return Failure.unknown("no answer from the table service in " + TIMEOUT.toSeconds() + " s");
    }
    return Failure.unknown("no answer from the table service: " + error.getClass().getSimpleName());
  }
}
