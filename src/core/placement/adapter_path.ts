/** How an adapter of a model is named within the gateway. */

/** Returns `model/adapter`, or the model's name for its base without an adapter. */
export function formatAdapterPath(model: string, adapter: string): string {
  return adapter === "" ? model : `${model}/${adapter}`;
}
