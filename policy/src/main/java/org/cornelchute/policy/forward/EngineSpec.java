package org.cornelchute.policy.forward;

/**
 * Published speed of a model engine.
 *
 * @param model name of the model that it serves
 * @param stepMillis time of one token step
 * @param sequenceMillis added to a step for each sequence that is being generated
 * @param readPerMilli prompt tokens read in a millisecond
 * @param stride token steps in one pass
 * @param meanPrompt usual prompt, in tokens
 * @param meanAnswer usual answer, in tokens
 */
public record EngineSpec(
    String model,
    double stepMillis,
    double sequenceMillis,
    double readPerMilli,
    int stride,
    double meanPrompt,
    double meanAnswer) {}
