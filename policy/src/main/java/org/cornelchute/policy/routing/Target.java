package org.cornelchute.policy.routing;

import java.util.Optional;
import org.cornelchute.core.model.Member;

/**
 * Target of a request: a model or a plain service.
 *
 * @param isModel whether the target is a model
 * @param name name of the model or service, with aliases resolved
 */
public record Target(boolean isModel, String name) {

  /** Returns the target that a member's endpoint serves, as last announced by the member. */
  public static Optional<Target> of(Member member) {
    if (!member.service().isEmpty()) {
      return Optional.of(new Target(false, member.service()));
    }
    String model = member.generation().model();
    return model.isEmpty() ? Optional.empty() : Optional.of(new Target(true, model));
  }
}
