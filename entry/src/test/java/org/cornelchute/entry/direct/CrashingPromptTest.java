package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelchute.policy.forward.EndpointSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Endpoints whose response to a call with one part of the prompt breaks off inside an event, behind
 * two entries. All responses have no length and end with their connection.
 */
@Timeout(30)
class CrashingPromptTest {

  private static final String SERVICE = "s";
  private static final String HARMFUL = "bad";
  private static final int ENDPOINTS = 8;
  private static final int TIMEOUT_MILLIS = 4_000;
  private static final int MAX_POLLS = 40;
  private static final int POLL_MILLIS = 100;

  /** Longer than the time in which crashes count as one. */
  private static final int PAUSE_MILLIS = 200;

  private final AtomicInteger harmfulCalls = new AtomicInteger();
  private final List<ServerSocket> endpoints = new ArrayList<>();
  private final List<DirectEntryDaemon> entries = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @BeforeEach
  void start() throws IOException {
    List<EndpointSpec> specs = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      ServerSocket endpoint = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
      endpoints.add(endpoint);
      specs.add(EntryFixture.endpointSpec("i" + i, SERVICE, endpoint.getLocalPort()));
      Thread thread = new Thread(() -> serve(endpoint));
      thread.setDaemon(true);
      thread.start();
    }
    Map<String, String> peers =
        Map.of("e1", EntryFixture.freeAddress(), "e2", EntryFixture.freeAddress());
    for (String name : List.of("e1", "e2")) {
      String address = EntryFixture.freeAddress();
      addresses.add(address);
      DirectEntryDaemon entry =
          new DirectEntryDaemon(
              EntryFixture.settings(
                  name,
                  address,
                  EntryFixture.freeAddress(),
                  peers.get(name),
                  EntryFixture.freeAddress(),
                  60_000),
              EntryFixture.HEADER_NAMES,
              EntryFixture.fixedState(
                  peers, EntryFixture.streamConfig(SERVICE, TIMEOUT_MILLIS), specs),
              1);
      entries.add(entry);
      entry.start();
    }
  }

  @AfterEach
  void stop() throws IOException {
    entries.forEach(DirectEntryDaemon::close);
    for (ServerSocket endpoint : endpoints) {
      endpoint.close();
    }
  }

  // Failure: an entry sends calls with a part that has crashed endpoints behind other entries.
  @Test
  void bothEntriesRejectPartThatBrokeOffThreeResponsesAtEitherOfThem() throws Exception {
    for (int i = 0; i < 3; i++) {
      assertThat(call(i % 2, "a1:40,bad:800,c" + i + ":9")).isEmpty();
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    for (int entry = 0; entry < 2; entry++) {
      awaitRejection(entry);
    }
    int sent = harmfulCalls.get();
    assertThat(sent).isLessThanOrEqualTo(4);
    Optional<HttpResponse<String>> rejected = call(1, "f00:40,bad:800,e:9");
    assertThat(rejected.orElseThrow().statusCode()).isEqualTo(503);
    assertThat(rejected.get().headers().firstValue("retry-after")).isPresent();
    assertThat(harmfulCalls.get()).isEqualTo(sent);
    assertThat(call(0, "a1:40,c9:9").orElseThrow().statusCode()).isEqualTo(200);
  }

  // Failure: a response without a length that ends between events is taken for a crash.
  @Test
  void servesResponsesThatEndWithTheirConnectionBetweenEvents() throws Exception {
    for (int i = 0; i < 8; i++) {
      HttpResponse<String> response = call(0, "a1:40,b2:800,c" + i + ":9").orElseThrow();
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
  }

  private void awaitRejection(int entry) throws Exception {
    for (int poll = 0; poll < MAX_POLLS; poll++) {
      Optional<HttpResponse<String>> response = call(entry, "a1:40,bad:800,d" + poll + ":9");
      if (response.isPresent()) {
        assertThat(response.get().statusCode()).isEqualTo(503);
        return;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    throw new AssertionError("entry " + entry + " still sends calls with the part");
  }

  /** Returns the response, empty if it broke off. */
  private Optional<HttpResponse<String>> call(int entry, String parts) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + addresses.get(entry) + "/s/"))
            .header("x-id", parts)
            .header("x-parts", parts)
            .header("x-deadline", "3000")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    try {
      return Optional.of(client.send(request, BodyHandlers.ofString()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private void serve(ServerSocket endpoint) {
    while (!endpoint.isClosed()) {
      try (Socket socket = endpoint.accept()) {
        if (!answer(socket)) {
          endpoint.close();
        }
      } catch (IOException e) {
        // The connection was reset, or the test is over.
        Thread.yield();
      }
    }
  }

  /** Answers one call; returns whether the endpoint survives it. */
  private boolean answer(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String id = "";
    boolean harmful = false;
    for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
      if (line.startsWith("x-id: ")) {
        id = line;
      }
      harmful |= line.startsWith("x-parts: ") && line.contains(HARMFUL);
    }
    reader.skip(2);
    String head =
        "HTTP/1.1 200 OK\r\n"
            + id
            + "\r\nx-signature: signed\r\nContent-Type: text/event-stream\r\n\r\n";
    String events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
    if (harmful) {
      harmfulCalls.incrementAndGet();
      events = "id: 1\ndata: x\n\nid: 2\nda";
    }
    socket.getOutputStream().write((head + events).getBytes(StandardCharsets.US_ASCII));
    return !harmful;
  }
}
