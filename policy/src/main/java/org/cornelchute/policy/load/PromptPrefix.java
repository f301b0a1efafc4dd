package org.cornelchute.policy.load;

import java.util.ArrayList;
import java.util.List;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * The leading parts of a prompt that other calls may share, as chains.
 *
 * @param chains hash codes of the chains of the first part, the first two parts and so on; a part
 *     that follows other parts has another hash code
 * @param tokens tokens of the last part of each chain
 */
public record PromptPrefix(List<Long> chains, List<Integer> tokens) {

  /** A prompt without parts that are shared and whose tokens are known. */
  public static final PromptPrefix NONE = new PromptPrefix(List.of(), List.of());

  /**
   * Returns the chains of parts.
   *
   * @param parts ids of the parts in the order of the prompt
   * @param tokens tokens of each part; without them, the prompt counts as one without shared parts
   */
  public static PromptPrefix of(List<Long> parts, List<Integer> tokens) {
    if (parts.isEmpty() || tokens.size() != parts.size()) {
      return NONE;
    }
    List<Long> chains = new ArrayList<>(parts.size());
    long chain = 0;
    for (long part : parts) {
      chain = RendezvousHash.mix(chain) + RendezvousHash.mix(part);
      chains.add(chain);
    }
    return new PromptPrefix(chains, tokens);
  }

  /** Returns the number of chains. */
  public int length() {
    return chains.size();
  }
}
