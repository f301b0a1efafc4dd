package org.cornelchute.policy.routing;

import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;

/**
 * What a request is for: a model or a plain service.
 *
 * @param model whether it names a model
 * @param name resolved name
 */
public record Target(boolean model, String name) {

  /** Returns whether an endpoint serves this target. */
  public boolean servedBy(Member member, Load load) {
    return model ? load.generation().model().equals(name) : member.service().equals(name);
  }
}
