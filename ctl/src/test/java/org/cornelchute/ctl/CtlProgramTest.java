package org.cornelchute.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cornelchute.core.cli.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

class CtlProgramTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  @TempDir private Path directory;

  private int run(String... arguments) {
    return CtlProgram.run(new PrintStream(out), new PrintStream(err), arguments);
  }

  private String writeRulesFile(String text) throws IOException {
    Path file = directory.resolve("fleet.rules");
    Files.writeString(file, text);
    return file.toString();
  }

  @Test
  void validatesFileAndReportsEveryErrorWithLineAndColumn() throws IOException {
    String invalidFile = writeRulesFile("weight a x # asked: b\nout\n");
    assertThat(run("check", invalidFile)).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("fleet.rules:1:10:").contains("fleet.rules:2:");
    assertThat(run("check", writeRulesFile("weight a 1 # asked: b\n"))).isEqualTo(ExitCode.OK);
    assertThat(out.toString()).contains("1 rules, valid");
  }

  @Test
  void reportsUsageOnInvalidInput() {
    assertThat(run()).isEqualTo(ExitCode.USAGE);
    assertThat(run("frobnicate")).isEqualTo(ExitCode.USAGE);
    assertThat(run("check")).isEqualTo(ExitCode.USAGE);
    assertThat(run("check", "no-such-file")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("see cornelctl --help").contains("no-such-file");
  }

  @Test
  void failsWithoutChangeWhenTableServiceIsUnreachable() throws IOException {
    String validFile = writeRulesFile("weight a 1 # asked: b\n");
    assertThat(run("apply", validFile, "--platform", "http://127.0.0.1:11"))
        .isEqualTo(ExitCode.FAILED);
    assertThat(err.toString()).contains("cannot be reached");
  }

  /** Guards against a member that accepts connections but never answers: an uncaught exception. */
  @Test
  void reportsMemberThatDoesNotAnswer() {
    DisposableServer silentMember =
        HttpServer.create().host("127.0.0.1").handle((q, r) -> Mono.never()).bindNow();
    try {
      assertThat(run("status", "--member", "http://127.0.0.1:" + silentMember.port()))
          .isEqualTo(ExitCode.FAILED);
      assertThat(err.toString()).contains("no answer from http://127.0.0.1:");
    } finally {
      silentMember.disposeNow();
    }
  }

  @Test
  void printsHelpAndDigest() {
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    assertThat(run("digest", "k")).isEqualTo(ExitCode.OK);
    assertThat(out.toString()).contains("Examples:").contains("8254c329a92850f6d539dd376f4816ee");
  }
}
