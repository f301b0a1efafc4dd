package org.cornelchute.policy.routing;

import java.util.Optional;
import org.cornelchute.core.model.Member;

/**
 * What a request is for: a model or a plain service.
 *
 * @param isModel whether it names a model
 * @param name resolved name
 */
public record Target(boolean isModel, String name) {

  /** Finds what a member's endpoint serves, as far as the member has told. */
  public static Optional<Target> of(Member member) {
    if (!member.service().isEmpty()) {
      return Optional.of(new Target(false, member.service()));
    }
    String model = member.generation().model();
    return model.isEmpty() ? Optional.empty() : Optional.of(new Target(true, model));
  }
}
