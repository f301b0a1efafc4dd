package org.cornelchute.policy.admission;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.model.Load;

/** What an {@link AdmissionDecider} asks its duty to do. */
public sealed interface AdmissionEffect {

  /** Forward a request to the endpoint; the ledger already says so. */
  record Forward(AttemptKey key, Dispatch dispatch) implements AdmissionEffect {}

  /** Send a message on the connection of an entry; lost if the connection is gone. */
  record Reply(long connection, Message message) implements AdmissionEffect {}

  /** Break off a request at the endpoint. */
  record Abort(AttemptKey key) implements AdmissionEffect {}

  /** Tell every connected entry the load. */
  record BroadcastLoad(Load load) implements AdmissionEffect {}

  /** The endpoint answered with weights that it should not have; look at it at once. */
  record RecheckEndpoint(String reason) implements AdmissionEffect {}

  /** Write a decision to the log. */
  record Log(Decision decision) implements AdmissionEffect {}
}
