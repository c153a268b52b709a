// Renders deploy/settings.yaml.template for one gateway, as DEPLOY.md defines its placeholders and sections.
import { readFileSync } from "node:fs";

const SECTION = /\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g;
const PLACEHOLDER = /\{\{([\w.]+)(\|json)?\}\}/g;

function lookUp(fields, path) {
  return path.split(".").reduce((value, key) => value?.[key], fields);
}

export function renderSettings(templatePath, fields) {
  return readFileSync(templatePath, "utf8")
    .replace(SECTION, (_, path, text) => lookUp(fields, path) ? text : "")
    .replace(PLACEHOLDER, (_, path, isJson) => {
      const value = lookUp(fields, path);
      if (value === undefined) return "";
      return isJson ? JSON.stringify(value) : String(value);
    });
}
