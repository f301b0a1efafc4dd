package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WorkspaceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Text beyond ASCII on its way from the configuration or a caller to an endpoint. */
@Timeout(60)
class ForwardedTextTest {

  private static final String SERVICE = "s";
  private static final Charset BYTES = StandardCharsets.ISO_8859_1;

  private static final List<String> NAMES =
      List.of("w", "50% + 1", "café", "Luka Ploče", "Luka Plože", "🚚");

  private ScriptedEndpoint endpoint;
  private DirectEntryDaemon entry;
  private String address;

  @BeforeEach
  void start() throws IOException {
    endpoint =
        new ScriptedEndpoint(
            (request, output) -> {
              output.write(
                  ScriptedEndpoint.head(
                      "200 OK", request, "x-signature: signed", "Content-Length: 0"));
              return true;
            });
    address = EntryFixture.freeAddress();
    DirectSettings settings =
        EntryFixture.settings(
            address,
            EntryFixture.freeAddress(),
            EntryFixture.freeAddress(),
            EntryFixture.freeAddress(),
            DirectSettings.DEFAULTS.keyAgeMillis());
    EndpointSpec spec = EntryFixture.endpointSpec("e", SERVICE, endpoint.port());
    ServingStateSource state = EntryFixture.fixedState(config(), List.of(spec));
    entry = new DirectEntryDaemon(settings, EntryFixture.HEADER_NAMES, state, 1);
    entry.start();
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    endpoint.close();
  }

  // Failure: letters beyond Latin-1 reached endpoints as question marks, so that the calls of two
  // workspaces could not be told apart (review/5).
  @Test
  void namesEachWorkspaceInUtf8() throws Exception {
    Set<String> received = new HashSet<>();
    for (int i = 0; i < NAMES.size(); i++) {
      assertThat(call("key" + i, "/order/x", "plain")).startsWith("HTTP/1.1 200");
      String name = lastRequest().get("x-workspace");
      assertThat(new String(name.getBytes(BYTES), StandardCharsets.UTF_8)).isEqualTo(NAMES.get(i));
      received.add(name);
    }
    assertThat(received).hasSize(NAMES.size());
  }

  // Guards against: bytes beyond ASCII in a path or header of a caller are forwarded as others.
  @Test
  void forwardsBytesOfCallersUnchanged() throws Exception {
    String header = toText(0x80, 0xa0, 0xc4, 0xff);
    assertThat(call("key0", "/order/%C4%8D?q=%FF", header)).startsWith("HTTP/1.1 200");
    assertThat(lastRequest().get(ScriptedEndpoint.REQUEST_LINE))
        .isEqualTo("POST /order/%C4%8D?q=%FF HTTP/1.1");
    assertThat(lastRequest().get("x-other")).isEqualTo(header);
  }

  // Guards against: a path with raw bytes, which is no valid one, reaches an endpoint as another.
  @Test
  void forwardsRawBytesInPathsUnchangedOrNotAtAll() throws Exception {
    String path = "/order/" + toText(0xc4, 0x8d);
    String response = call("key0", path, "plain");
    if (response.startsWith("HTTP/1.1 200")) {
      assertThat(lastRequest().get(ScriptedEndpoint.REQUEST_LINE))
          .isEqualTo("POST " + path + " HTTP/1.1");
    } else {
      assertThat(response).startsWith("HTTP/1.1 400");
      assertThat(endpoint.requests).isEmpty();
    }
  }

  /** Returns a text with one char a byte. */
  private static String toText(int... bytes) {
    return new String(bytes, 0, bytes.length);
  }

  private Map<String, String> lastRequest() {
    return endpoint.requests.get(endpoint.requests.size() - 1);
  }

  /** Sends a request, whose text holds one char a byte, and returns the response. */
  private String call(String key, String path, String header) throws IOException {
    String[] hostAndPort = address.split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      String request =
          "POST "
              + path
              + " HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: a\r\nx-deadline: 3000\r\nx-other: "
              + header
              + "\r\nAuthorization: Bearer "
              + key
              + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(BYTES));
      return new String(socket.getInputStream().readAllBytes(), BYTES);
    }
  }

  private static ServingConfig config() {
    RouteSpec route =
        new RouteSpec(
            "r",
            "127.0.0.1",
            "/order/",
            CallKind.NON_IDEMPOTENT,
            false,
            6_000,
            500,
            1,
            2,
            false,
            List.of(),
            List.of(new RouteSpec.WeightedService(SERVICE, 1)));
    Map<String, WorkspaceSpec> workspaceByKey = new HashMap<>();
    for (int i = 0; i < NAMES.size(); i++) {
      workspaceByKey.put("key" + i, new WorkspaceSpec(NAMES.get(i), 1, List.of()));
    }
    return new ServingConfig(
        1,
        List.of(route),
        List.of(new ServiceSpec(SERVICE, 32, 0, 0, Optional.empty())),
        true,
        workspaceByKey,
        ServingConfig.CallerLimits.DEFAULTS);
  }
}
