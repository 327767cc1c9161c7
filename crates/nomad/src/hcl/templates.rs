//! Templates: strings with interpolations, conditions and loops in them.

use super::scope::{Error, ItemNames, Place, Result, Scope, items};
use crate::tree::Value;
use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::template::{Directive, Element, ForDirective, IfDirective, Template};

impl Scope {
    pub(super) fn template(&mut self, template: &Template, span: Place) -> Result<Value> {
        // A lone interpolation keeps its type.
        if let [Element::Interpolation(only)] = template.iter().collect::<Vec<_>>().as_slice() {
            return self.eval(&only.expr);
        }
        let mut out = String::new();
        self.fill(template, &mut out, &span)?;
        self.charged(Value::Text(out), span)
    }

    /// Appends what a template gives.
    fn fill(&mut self, template: &Template, out: &mut String, span: &Place) -> Result<()> {
        for element in template {
            self.step(span)?;
            match element {
                Element::Literal(text) => self.append(text.value(), out, span)?,
                Element::Interpolation(interpolation) => self.interpolate(&interpolation.expr, out, span)?,
                Element::Directive(directive) => match &**directive {
                    Directive::If(directive) => self.if_directive(directive, out, span)?,
                    Directive::For(directive) => self.for_directive(directive, out, span)?,
                },
            }
        }
        Ok(())
    }

    fn append(&mut self, text: &str, out: &mut String, span: &Place) -> Result<()> {
        self.spend(text.len()).map_err(|reason| Error::new(span.clone(), reason))?;
        out.push_str(text);
        Ok(())
    }

    fn interpolate(&mut self, expression: &Expression, out: &mut String, span: &Place) -> Result<()> {
        let value = self.eval(expression)?;
        let Some(text) = value.to_text() else {
            let reason = format!("{} does not go into a string", value.kind());
            return Err(Error::new(expression.span(), reason));
        };
        self.append(&text, out, span)
    }

    fn if_directive(&mut self, directive: &IfDirective, out: &mut String, span: &Place) -> Result<()> {
        if self.condition(&directive.if_expr.cond_expr)? {
            return self.fill(&directive.if_expr.template, out, span);
        }
        match &directive.else_expr {
            Some(other) => self.fill(&other.template, out, span),
            None => Ok(()),
        }
    }

    fn for_directive(&mut self, directive: &ForDirective, out: &mut String, span: &Place) -> Result<()> {
        let intro = &directive.for_expr;
        let names = ItemNames {
            key: intro.key_var.as_ref().map(|name| name.as_str()),
            value: intro.value_var.as_str(),
        };
        let collection = self.eval(&intro.collection_expr)?;
        for item in items(collection, intro.collection_expr.span())? {
            self.with_item(&names, item, |scope| scope.fill(&intro.template, out, span))?;
        }
        Ok(())
    }
}
