package org.cornelchute.policy.admission;

/** Identity of one attempt at one request. */
public record AttemptKey(String request, int attempt) {}
