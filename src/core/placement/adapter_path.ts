/** Names of adapters within the gateway. */

/** Returns `model/adapter`, or the name of the model for its base model. */
export function formatAdapterPath(model: string, adapter: string): string {
  return adapter === "" ? model : `${model}/${adapter}`;
}
