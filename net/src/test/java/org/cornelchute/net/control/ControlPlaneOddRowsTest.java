package org.cornelchute.net.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One odd row of another writer must not end the process, hide the rows beside it, or keep the
 * control plane from following later changes.
 */
@Timeout(60)
class ControlPlaneOddRowsTest extends ControlPlaneFixture {

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
}
