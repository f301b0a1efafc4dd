package org.cornelchute.ctl;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.policy.weights.Digests;

/** Prints the digest of a workspace's key in the form that a {@code key} rule takes. */
final class DigestCommand implements Command {

  @Override
  public String name() {
    return "digest";
  }

  @Override
  public String arguments() {
    return "KEY";
  }

  @Override
  public String summary() {
    return "print the SHA-256 of a workspace's key, for a 'key' rule";
  }

  @Override
  public int run(CommandContext context, List<String> arguments) {
    String digest = Digests.sha256(arguments.get(0).getBytes(StandardCharsets.UTF_8));
    context.print(digest, digest);
    return ExitCode.OK;
  }
}
